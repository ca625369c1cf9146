#pragma once

#include "quarantine/crashwatch.h"
#include "quarantine/quarantine.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bamboohold {

/// What a day of a fleet before targets that crash is like. Times are in milliseconds.
struct PoisonDay {
    using Millis = std::int64_t;

    unsigned seed = 0;
    int routers = 5;
    int targets = 9;
    /// Between two copies of the poisonous request, at the most.
    Millis copyGap = 500;
    /// Between two crashes of something else, at the most; 0: none.
    Millis otherCrashGap = 0;
    /// Of 100 notices between routers, so many get lost.
    unsigned lostNotices = 0;
    /// Of 100 callers of the poison, so many leave before the target has crashed.
    unsigned impatient = 0;
    /// Between two deaths of a router, at the most; 0: none.
    Millis routerDeathGap = 0;
    /// How long after a crash the port still takes connections.
    Millis lingering = 0;
    /// Arrivals, crashes, deaths and losses draw from streams of their own, so that the day stays the same when the decisions change.
    /// Otherwise one stream serves them all.
    bool separateStreams = false;
};

/// Routers, targets and callers in a time of their own. The decision objects are the real ones; the network and the store between them are
/// a list of things to happen.
class PoisonFleet
{
public:
    using Millis = PoisonDay::Millis;

    explicit PoisonFleet(PoisonDay day);

    /// Plays the day.
    void play();

    /// Copies that reached a target although the fleet had to know, sent by routers that had been up for as long.
    int lateCopies() const
    {
        return m_lateCopies;
    }

    /// The longest time for which the popular request was refused without an answer to it.
    Millis longestRefused() const
    {
        return m_longestRefused;
    }

    int crashedByPoison() const
    {
        return m_crashedByPoison;
    }

private:
    /// What a draw is for.
    enum class Stream : std::size_t {
        PoisonTimes,
        PopularTimes,
        OnceTimes,
        Crashes,
        Deaths,
        Poison,
        Popular,
        Once,
        Losses,
        Delays,
    };
    static constexpr std::size_t s_streams = 10;

    struct Router {
        CrashWatch watch;
        Quarantine quarantine;
        Millis upSince = -10'000;
    };

    struct Running {
        std::size_t router = 0;
        FingerprintPair request;
        std::uint64_t id = 0;
    };

    struct Target {
        std::string name;
        bool up = false;
        std::vector<Running> running;
    };

    std::size_t draw(Stream stream, std::size_t below);
    /// Gives the arrival draws of its own, however many of them the ones before it took.
    void restartStream(Stream stream);
    void after(Millis wait, std::function<void()> event);
    void everySoOften(Stream stream, Millis most, const std::function<void()> &event);
    void start(std::size_t target);
    static bool held(const Router &router, const FingerprintPair &request, Millis now);
    void arrive(const FingerprintPair &request, Stream stream);
    bool beginTrial(std::size_t number, const FingerprintPair &request);
    /// The store is told when the next trial after this one is due.
    void noteTrial(std::size_t number, const RequestFingerprint &fingerprint);
    void tell(std::size_t number, const RequestFingerprint &fingerprint);
    void noteRefusal(Stream stream);
    /// The caller has gone: the router breaks the request off, and the target has not noticed yet.
    void leave(std::size_t target, const std::string &life, std::uint64_t id);
    void finish(std::size_t target, std::uint64_t id, const FingerprintPair &request);
    void acquit(std::size_t number, const FingerprintPair &request);
    void crash(std::size_t number);
    void brokeOff(const Running &running, const std::string &life);
    void ask(std::size_t router, const std::string &life, std::size_t step);
    std::size_t numberOf(const Router &router) const;
    void tellBrokenOff(std::size_t router, const std::string &life);
    void report(std::size_t router, const std::string &life, std::vector<RequestFingerprint> underWay);
    void decide(std::size_t router, std::uint64_t target, const std::vector<RequestFingerprint> &underWay, Instant crash);
    void tellAnswered(std::size_t number, const RequestFingerprint &fingerprint, Instant answered);
    void tellAnsweredSince(std::size_t number, const std::vector<RequestFingerprint> &underWay, Instant crash);
    /// A router that has started asks peers what they know of crashes.
    void askPeers(std::size_t number);
    void takeReport(Router &router, std::uint64_t target, const std::vector<RequestFingerprint> &underWay, Instant crash);
    void takeBrokenOff(Router &router, std::uint64_t target, const std::vector<RequestFingerprint> &underWay, Instant since);
    void tellOthers(std::size_t router, const std::function<void(Router &)> &notice);
    void sendTo(std::size_t router, const std::function<void(Router &)> &notice);
    /// Each router reads the store's rows every two seconds, at a time of its own.
    void synchroniseRouters();
    void synchronise(std::size_t number);
    void readStore(std::size_t number);

    PoisonDay m_day;
    std::array<std::mt19937, s_streams> m_streams;
    std::array<unsigned, s_streams> m_restarts{};
    std::multimap<Millis, std::function<void()>> m_events;
    std::vector<Router> m_routers;
    std::vector<Target> m_targets;
    std::map<std::string, Millis> m_crashedAt;
    std::map<RequestFingerprint, Quarantine::Entry> m_rows;
    std::map<RequestFingerprint, Millis> m_acquittedAt;
    const FingerprintPair m_poison = fingerprintsOf({.team = "team", .body = "poison"});
    const FingerprintPair m_popular = fingerprintsOf({.team = "team", .body = "popular"});
    Millis m_now = 0;
    std::uint64_t m_ids = 0;
    int m_unique = 0;
    int m_started = 0;
    int m_lateCopies = 0;
    int m_crashedByPoison = 0;
    Millis m_longestRefused = 0;
    std::optional<Millis> m_thirdCrash;
    std::optional<Millis> m_refusedSince;
};

}
