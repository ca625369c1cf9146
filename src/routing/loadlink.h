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
    std::optional<double> heardLimit = std::nullopt;
};

/// What a relay said of a target.
struct TargetNews {
    TargetLoad others;
    /// The target's limit as the routers heard it last, in requests a second: 0 where it has ended, none where nobody said anything.
    std::optional<double> limit;
    /// When the question was sent that this answers.
    Instant askedAt{};
};

/// Tells the relays beside targets what this router has there, and asks them what all others have. Lives on one event loop.
///
/// Every wait is a caller's: a question is given up after a few round trips, and a relay that did not answer several times is asked no more
/// for a while. Beside plain services no relay runs at all.
class LoadLink
{
public:
    struct Options {
        /// This process.
        std::string incarnation;
        /// The address that answers come to; any address where none is given.
        std::string address;
        /// Round trips that a question waits for, and its bounds. A round trip within a region takes 0.4 to 3 ms; a router with a tenth of
        /// a core takes about as long itself.
        int roundTrips = 4;
        Duration leastWait = std::chrono::milliseconds(3);
        Duration mostWait = std::chrono::milliseconds(15);
        /// Datagrams get lost; this many silences in a row are a relay that is not there. It then rests, twice as long each time.
        std::uint32_t silences = 2;
        Duration firstRest = std::chrono::seconds(1);
        Duration longestRest = std::chrono::seconds(30);
    };

    /// Told what others have at a target, and of targets whose relay is known and said nothing.
    using Heard = std::function<void(const std::string &incarnation, const TargetNews &news)>;
    using Silent = std::function<void(const std::string &incarnation)>;

    LoadLink(boost::asio::any_io_executor executor, Options options);

    void onAnswers(Heard heard, Silent silent);

    /// Opens the socket; an address that is not this host's is an InvalidSetting.
    absl::Status open();

    /// Asks about all of these at once, and returns when they have answered or the time for it is up.
    boost::asio::awaitable<void> ask(std::span<const LoadNotice> notices);

    /// Asks whether one request may be sent to the target, which takes this many a second from all routers. The admission is used within
    /// `s_admissionLifetime` of this call, or not at all.
    boost::asio::awaitable<AdmissionAnswer> askAdmission(LoadNotice notice, AdmissionRates rates);

    /// The shortest round trip among the answers since the last call, late ones included; none when none came. Long ones tell that this
    /// host's link is full, or its processor: a relay that is slow by itself is one of many.
    std::optional<Duration> takeShortestRoundTrip();

    /// True when the relay at that address has ever answered.
    bool answers(const std::string &relay) const;

    /// Tells one relay, and wants no answer.
    void tell(const LoadNotice &notice);

private:
    /// Questions asked together.
    struct Group {
        explicit Group(const boost::asio::any_io_executor &executor)
            : done(executor)
        {
        }

        boost::asio::steady_timer done;
        std::size_t open = 0;
        /// The last answer's word on a target that takes few requests.
        std::optional<bool> admitted;
        Duration wait{};
    };

    struct Question {
        std::string incarnation;
        std::string relay;
        std::shared_ptr<Group> group;
        Instant sentAt{};
    };

    /// A relay by address.
    struct Relay {
        boost::asio::ip::udp::endpoint endpoint;
        bool everAnswered = false;
        std::uint32_t silences = 0;
        Instant restsUntil{};
    };

    Relay *relay(const std::string &address);
    /// What is wanted of a relay besides taking the notice.
    struct Wanted {
        bool answer = false;
        AdmissionRates rates{};
    };

    std::uint64_t send(Relay &relay, const LoadNotice &notice, Wanted wanted);
    std::uint64_t question(Relay &relay, const LoadNotice &notice, const std::shared_ptr<Group> &group, Wanted wanted);
    boost::asio::awaitable<void> awaitAnswers(std::shared_ptr<Group> group, std::vector<std::uint64_t> asked);
    boost::asio::awaitable<void> receive();
    void answered(std::span<const char> message);
    void missed(const Question &question, Instant now);
    Duration patience() const;

    boost::asio::any_io_executor m_executor;
    Options m_options;
    std::uint64_t m_router = 0;
    boost::asio::ip::udp::socket m_socket;
    Heard m_heard;
    Silent m_silent;
    std::uint64_t m_sequence = 0;
    /// By sequence.
    absl::flat_hash_map<std::uint64_t, Question> m_questions;
    absl::flat_hash_map<std::string, Relay> m_relays;
    Duration m_roundTrip = std::chrono::milliseconds(1);
    std::optional<Duration> m_shortest;
    /// When the newest messages were sent, by sequence: answers that come after their question was given up still tell how long they took.
    static constexpr std::size_t s_sentKept = 1024;
    std::array<Instant, s_sentKept> m_sentAt{};
};

}
