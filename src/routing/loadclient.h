#pragma once

#include "clock/instant.h"
#include "routing/admission.h"
#include "routing/listreport.h"
#include "routing/loadaggregator.h"
#include "routing/streamoriginstore.h"

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

namespace wire {
class LoadAnswer;
class LoadNote;
}

/// The load of this router at a target, and the relay that it is reported to.
struct LoadNotice {
    /// The target's incarnation.
    std::string incarnation;
    /// ADDRESS:PORT of the relay; empty when none runs beside the target.
    std::string relay;
    TargetLoad load;
    /// The limit that the target reported in its newest answer to this router, in requests per second; 0 when it has ended. Sent once per
    /// reported limit.
    std::optional<double> reportedLimit = std::nullopt;
    /// How fast this router has found the target.
    std::optional<SpeedReport> speed = std::nullopt;
};

/// A relay's answer to a query about a target.
struct TargetLoadReply {
    /// Load of all other routers at the target.
    TargetLoad remoteLoad;
    /// The limit that any router reported last, in requests per second: 0 when it has ended, empty when none was reported.
    std::optional<double> limit;
    /// How fast the other routers have found the target, as it was received; none when none of them has reported it.
    std::optional<SpeedReport> speed;
    /// When the query was sent.
    Instant askedAt{};
};

/// What the processes that were asked about a stream have answered.
struct StreamQueryResult {
    /// The answers of those that know the stream.
    std::vector<KnownOrigin> origins;
    std::size_t asked = 0;
    std::size_t answered = 0;
    /// Those among the asked ones that had answered a query before.
    std::size_t answeredBefore = 0;
};

/// Reports this router's load to the relays beside targets, and queries the load of all other routers there. Tells relays where streams
/// began, and asks them. Not thread-safe: use it on one event loop only.
///
/// Queries delay the caller's request, so each one times out after a few round trips, and a relay with several consecutive timeouts is not
/// queried again until its backoff has passed. Plain services have no relay beside them.
class LoadClient
{
public:
    struct Options {
        /// Incarnation of this process.
        std::string incarnation;
        /// The local address to bind; any address when empty.
        std::string address;
        /// A query times out after this many average round trips, but not outside the bounds below. A round trip within a region takes
        /// 0.4 to 3 ms, and a router with a tenth of a core takes about as long again to process it.
        int timeoutRoundTrips = 4;
        Duration minTimeout = std::chrono::milliseconds(3);
        Duration maxTimeout = std::chrono::milliseconds(15);
        /// Single datagrams get lost, so a relay counts as absent only after this many consecutive timeouts, or after the first if it has
        /// never answered. It is then not queried for the backoff time, which doubles with each further timeout.
        std::uint32_t timeoutsBeforeBackoff = 2;
        Duration initialBackoff = std::chrono::seconds(1);
        Duration maxBackoff = std::chrono::seconds(30);
    };

    /// Called with each answer to a query.
    using AnswerCallback = std::function<void(const std::string &incarnation, const TargetLoadReply &reply)>;
    /// Called when a query times out at a relay that has answered before.
    using TimeoutCallback = std::function<void(const std::string &incarnation)>;

    /// The outcome of a query at a relay that has answered before, or a late answer.
    struct QueryOutcome {
        /// Address of the relay's host.
        std::string host;
        Instant sentAt{};
        /// None if the query timed out.
        std::optional<Duration> roundTrip;
    };
    /// Called with each outcome. Returns whether a timeout counts against the relay; it does not if this host's network is the cause.
    using QueryObserver = std::function<bool(const QueryOutcome &outcome)>;

    LoadClient(boost::asio::any_io_executor executor, Options options);

    /// Sets the callbacks. Required before the first query; the timeout callback may be empty.
    void setCallbacks(AnswerCallback onAnswer, TimeoutCallback onTimeout);

    /// Sets an observer of all queries. Without one, each timeout counts against its relay.
    void setQueryObserver(QueryObserver observer)
    {
        m_queryObserver = std::move(observer);
    }

    /// Opens the socket and starts to receive. InvalidSetting when the address is malformed or does not belong to this host.
    absl::Status open();

    /// Reports all of these loads and queries their relays in parallel. Returns when all have answered or the queries have timed out.
    boost::asio::awaitable<void> queryRelays(std::span<const LoadNotice> notices);

    /// Asks the relay whether one request may be sent to a target that restricts all routers together to `rates`. An admission is valid for
    /// `s_admissionLifetime` from this call.
    boost::asio::awaitable<AdmissionAnswer> queryAdmission(LoadNotice notice, AdmissionRates rates);

    /// Returns the shortest round trip among the answers since the last call, late answers included; empty when there were none. If even
    /// the shortest is long, this host's network link or processor is saturated: a single slow relay does not raise the minimum.
    std::optional<Duration> takeShortestRoundTrip();

    /// True when the relay at this address has answered a query before.
    bool hasAnswered(const std::string &relay) const;

    /// Reports a load without waiting for an answer. Does nothing unless the relay has answered a query before.
    void notifyRelay(const LoadNotice &notice);

    /// Tells the process at this address where a stream began. Does not wait for an answer.
    void reportStream(const std::string &address, std::uint64_t key, const StreamOrigin &origin);

    /// Sets the callback for the answers to queryList().
    void setListCallback(std::function<void(const ListReport &)> onListReport)
    {
        m_onListReport = std::move(onListReport);
    }

    /// Asks the router at this address how the store has served the list of targets. Does not wait for an answer, which may be late.
    void queryList(const std::string &address);

    /// Asks the processes at these addresses where a stream began. Returns when all have answered or the queries have timed out.
    boost::asio::awaitable<StreamQueryResult> queryStream(std::vector<std::string> addresses, std::uint64_t key);

private:
    /// Queries that one coroutine waits for together.
    struct QueryGroup {
        explicit QueryGroup(const boost::asio::any_io_executor &executor)
            : done(executor)
        {
        }

        boost::asio::steady_timer done;
        std::size_t pending = 0;
        /// The admission decision in the last answer.
        std::optional<bool> admitted;
        Duration wait{};
        /// The answers about a stream, if the queries are about one.
        StreamQueryResult stream;
    };

    struct PendingQuery {
        std::string incarnation;
        std::string relay;
        std::shared_ptr<QueryGroup> group;
        Instant sentAt{};
        bool aboutStream = false;
    };

    /// What is known about the relay at an address.
    struct Relay {
        boost::asio::ip::udp::endpoint endpoint;
        bool everAnswered = false;
        std::uint32_t consecutiveTimeouts = 0;
        Instant backoffUntil{};
    };

    /// Finds or adds the relay at an address; null when the address is malformed or the socket is not open.
    Relay *relay(const std::string &address);
    /// What a relay should do besides storing the load.
    struct QueryOptions {
        bool wantsAnswer = false;
        AdmissionRates rates{};
    };

    /// Sends a note, and returns its sequence number.
    std::uint64_t send(Relay &relay, const LoadNotice &notice, QueryOptions queryOptions);
    /// Sends a note that expects an answer, and adds it to the group.
    std::uint64_t sendQuery(Relay &relay, const LoadNotice &notice, const std::shared_ptr<QueryGroup> &group, QueryOptions queryOptions);
    /// Waits for the group's answers up to the timeout, then closes the queries that are still open.
    boost::asio::awaitable<void> awaitAnswers(std::shared_ptr<QueryGroup> group, std::vector<std::uint64_t> sequences, Duration timeout);
    /// Sends a message with the next sequence number.
    void sendNote(const Relay &relay, wire::LoadNote &note);
    static void addStreamAnswer(const wire::LoadAnswer &answer, StreamQueryResult &result);
    boost::asio::awaitable<void> receive();
    void handleAnswer(const boost::asio::ip::udp::endpoint &from, std::span<const char> message);
    void handleTimeout(const PendingQuery &query, Instant now);
    Duration answerTimeout() const;

    boost::asio::any_io_executor m_executor;
    Options m_options;
    std::uint64_t m_router = 0;
    boost::asio::ip::udp::socket m_socket;
    AnswerCallback m_onAnswer;
    TimeoutCallback m_onTimeout;
    QueryObserver m_queryObserver;
    std::function<void(const ListReport &)> m_onListReport;
    std::uint64_t m_sequence = 0;
    /// By sequence number.
    absl::flat_hash_map<std::uint64_t, PendingQuery> m_pendingQueries;
    absl::flat_hash_map<std::string, Relay> m_relays;
    /// Moving average.
    Duration m_roundTrip = std::chrono::milliseconds(1);
    std::optional<Duration> m_shortestRoundTrip;
    /// Send times of the newest messages, by sequence number modulo the array's size. With them, answers to queries that have timed out
    /// still count as round trips.
    static constexpr std::size_t s_sendTimesKept = 1024;
    std::array<Instant, s_sendTimesKept> m_sendTimes{};
};

}
