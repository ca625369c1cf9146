#pragma once

#include "clock/instant.h"
#include "routing/admission.h"
#include "routing/loadaggregator.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace bamboohold {

/// What this router has at a target, and the relay beside it that is told.
struct LoadNotice {
    /// The target's life.
    std::string incarnation;
    /// ADDRESS:PORT; empty where no relay runs.
    std::string relay;
    TargetLoad load;
    /// What the target's newest answer to this router said of its limit, in requests a second; 0: it has none any more. Told once.
    std::optional<double> reportedLimit = std::nullopt;
};

/// What a relay said of a target.
struct TargetLoadReply {
    TargetLoad remoteLoad;
    /// The target's limit as the routers heard it last, in requests a second: 0 where it has ended, none where nobody said anything.
    std::optional<double> limit;
    /// When the question was sent that this answers.
    Instant askedAt{};
};

/// Tells the relays beside targets what this router has there, and asks them what all others have. Lives on one event loop.
///
/// Every wait is a caller's: a question is given up after a few round trips, and a relay that did not answer several times is asked no more
/// for a while. Beside plain services no relay runs at all.
class LoadClient
{
public:
    struct Options {
        /// This process.
        std::string incarnation;
        /// The address that answers come to; any address where none is given.
        std::string address;
        /// Round trips that a question waits for, and its bounds. A round trip within a region takes 0.4 to 3 ms; a router with a tenth of
        /// a core takes about as long itself.
        int timeoutRoundTrips = 4;
        Duration minTimeout = std::chrono::milliseconds(3);
        Duration maxTimeout = std::chrono::milliseconds(15);
        /// Datagrams get lost; this many silences in a row are a relay that is not there. It then rests, twice as long each time.
        std::uint32_t timeoutsBeforeBackoff = 2;
        Duration initialBackoff = std::chrono::seconds(1);
        Duration maxBackoff = std::chrono::seconds(30);
    };

    /// Told what others have at a target, and of targets whose relay is known and said nothing.
    using AnswerCallback = std::function<void(const std::string &incarnation, const TargetLoadReply &reply)>;
    using TimeoutCallback = std::function<void(const std::string &incarnation)>;

    LoadClient(boost::asio::any_io_executor executor, Options options);

    void setCallbacks(AnswerCallback onAnswer, TimeoutCallback onTimeout);

    /// Opens the socket; an address that is not this host's is an InvalidSetting.
    absl::Status open();

    /// Asks about all of these at once, and returns when they have answered or the time for it is up.
    boost::asio::awaitable<void> queryRelays(std::span<const LoadNotice> notices);

    /// Asks whether one request may be sent to the target, which takes this many a second from all routers. The admission is used within
    /// `s_admissionLifetime` of this call, or not at all.
    boost::asio::awaitable<AdmissionAnswer> queryAdmission(LoadNotice notice, AdmissionRates rates);

    /// The shortest round trip among the answers since the last call, late ones included; none when none came. Long ones tell that this
    /// host's link is full, or its processor: a relay that is slow by itself is one of many.
    std::optional<Duration> takeShortestRoundTrip();

    /// True when the relay at that address has ever answered.
    bool hasAnswered(const std::string &relay) const;

    /// Tells one relay, and wants no answer.
    void notifyRelay(const LoadNotice &notice);

private:
    /// Questions asked together.
    struct QueryGroup {
        explicit QueryGroup(const boost::asio::any_io_executor &executor)
            : done(executor)
        {
        }

        boost::asio::steady_timer done;
        std::size_t pending = 0;
        /// The last answer's word on a target that takes few requests.
        std::optional<bool> admitted;
        Duration wait{};
    };

    struct PendingQuery {
        std::string incarnation;
        std::string relay;
        std::shared_ptr<QueryGroup> group;
        Instant sentAt{};
    };

    /// A relay by address.
    struct Relay {
        boost::asio::ip::udp::endpoint endpoint;
        bool everAnswered = false;
        std::uint32_t consecutiveTimeouts = 0;
        Instant backoffUntil{};
    };

    Relay *relay(const std::string &address);
    /// What is wanted of a relay besides taking the notice.
    struct QueryOptions {
        bool wantsAnswer = false;
        AdmissionRates rates{};
    };

    std::uint64_t send(Relay &relay, const LoadNotice &notice, QueryOptions queryOptions);
    std::uint64_t sendQuery(Relay &relay, const LoadNotice &notice, const std::shared_ptr<QueryGroup> &group, QueryOptions queryOptions);
    boost::asio::awaitable<void> awaitAnswers(std::shared_ptr<QueryGroup> group, std::vector<std::uint64_t> sequences);
    boost::asio::awaitable<void> receive();
    void handleAnswer(std::span<const char> message);
    void handleTimeout(const PendingQuery &query, Instant now);
    Duration answerTimeout() const;

    boost::asio::any_io_executor m_executor;
    Options m_options;
    std::uint64_t m_router = 0;
    boost::asio::ip::udp::socket m_socket;
    AnswerCallback m_onAnswer;
    TimeoutCallback m_onTimeout;
    std::uint64_t m_sequence = 0;
    /// By sequence.
    absl::flat_hash_map<std::uint64_t, PendingQuery> m_pendingQueries;
    absl::flat_hash_map<std::string, Relay> m_relays;
    Duration m_roundTrip = std::chrono::milliseconds(1);
    std::optional<Duration> m_shortestRoundTrip;
    /// When the newest messages were sent, by sequence: answers that come after their question was given up still tell how long they took.
    static constexpr std::size_t s_sendTimesKept = 1024;
    std::array<Instant, s_sendTimesKept> m_sendTimes{};
};

}
