#pragma once

#include "clock/instant.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// Why a request that would have to wait, or that waited, is refused.
enum class QueueRefusal {
    /// As many requests or bytes wait as may, and none of them comes after this one.
    Full,
    /// It would wait longer than it may.
    ExpectedWait,
    /// It has waited as long as it may.
    Waited,
    /// A request that comes before it took its place.
    Displaced,
    /// The router stops before the request would end.
    Draining,
};

/// The name of the reason in metrics.
std::string_view refusalName(QueueRefusal refusal);

/// The reason as callers are told it.
std::string_view refusalDetail(QueueRefusal refusal);

/// The requests of one service that wait in this router because no target has capacity for them, and the order in which they are
/// dispatched.
///
/// Pure: events and `now` in. Every operation looks at each waiting request at most once; there are at most some hundreds.
class RequestQueue
{
public:
    using Id = std::uint64_t;

    static constexpr std::size_t s_anyRank = std::numeric_limits<std::size_t>::max();

    struct Options {
        std::size_t maxRequests = 512;
        /// Bytes of request bodies that may wait in the queues of all services together; 0: not limited.
        std::size_t maxBytes = 0;
        /// At least one of this many dispatches goes to the longest waiting request of the least urgent rank, and a
        /// rank between gets one of half as many if nothing of it was dispatched, so that none starves.
        unsigned reservedInterval = 20;
        /// Requests that may be dispatched before one that comes before them but is too large for the targets' backlog. Without any,
        /// targets idle while it waits; with any number, large requests starve.
        unsigned maxTimesPassed = 4;
        /// The part of the requests that may wait as promised ones. Further ones are treated as others.
        double mostPromised = 0.5;
    };

    struct Entry {
        Id id = 0;
        /// 0 is the most urgent.
        std::size_t rank = 0;
        std::string team;
        Tokens tokens = 1;
        std::size_t bytes = 0;
        Instant arrived{};
        /// The time from arrival in which the caller expects an answer; zero or less: any time.
        Duration objective{};
        /// The request is refused if it still waits then.
        Instant waitUntil{};
        /// Its team, route or size is short of service: every second dispatch is for such requests, they are displaced last, and an
        /// expected wait by their rank does not refuse them.
        bool promised = false;
    };

    struct Admission {
        std::optional<QueueRefusal> refused;
        /// Requests that were removed to make room.
        std::vector<Id> displaced;
    };

    /// A request for which a target is to be sought now.
    struct Attempt {
        Id id = 0;
        std::size_t rank = 0;
        /// The fewest tokens of the requests that were attempted in a row, this one included. A reserved attempt that fails keeps nobody
        /// back.
        Tokens fewestTokens = std::numeric_limits<Tokens>::max();
        /// The first of them, which the later ones pass.
        Id first = 0;
        /// The dispatch is reserved for its rank, or for a promised request, which may then fill a target like the most urgent one.
        bool reserved = false;
        /// The request was promised. Its own size does not count towards the targets' backlog, since large ones would never fit.
        bool promised = false;
    };

    explicit RequestQueue(Options options);

    /// Whether a request of the rank may be sent without waiting: nothing of its rank or a more urgent one waits, or it is the turn of a
    /// promised one.
    bool mayBypass(std::size_t rank, bool promised = false) const;

    /// Adds a request, or refuses it. `bytesElsewhere` wait in the queues of other services.
    Admission enqueue(Entry entry, std::size_t bytesElsewhere, Instant now);

    /// Takes the next request in the order for which no target is being sought yet. After an attempt that failed, only requests are
    /// considered that may find capacity nevertheless: those that are still in time and have at most half of the tokens. A few attempts in
    /// a row end that way.
    std::optional<Attempt> beginAttempt(Instant now, const std::optional<Attempt> &failed = std::nullopt);

    /// No target had capacity for the request; it waits on.
    void attemptFailed(Id id);

    /// The request is sent to a target and leaves the queue.
    void dispatched(Id id, Instant now);

    /// A request that did not wait is sent to a target.
    void bypassed(std::size_t rank, Tokens tokens, Instant now, bool promised = false);

    /// The request leaves the queue without having been sent. Its team is not charged for it.
    void remove(Id id, Instant now);

    /// Moves the request to another rank, behind its team's requests there.
    void setRank(Id id, std::size_t rank);

    /// Records how long a target took to the first byte of a request with this many tokens, by which requests are told apart that can still
    /// be answered within their objective.
    void recordFirstByte(Tokens tokens, Duration elapsed);

    /// Removes and returns the requests that have waited as long as they may.
    std::vector<Id> expire(Instant now);

    /// Tokens a second that are dispatched while requests wait, of all ranks or of this rank and less urgent ones; none while that is not
    /// known.
    std::optional<double> dispatchRate(Instant now, std::size_t mostUrgentRank = 0) const;

    std::size_t size() const
    {
        return m_entries.size();
    }

    std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    /// Dispatches are counted by rank up to this number of ranks; those beyond count as the last one.
    static constexpr std::size_t s_rateRanks = 8;

    struct Waiting {
        Entry entry;
        /// Start tag of start-time fair queueing, within the rank.
        double startTag = 0;
        std::uint64_t sequence = 0;
        /// From then on the request is not expected to be answered within its objective.
        Instant timelyUntil = Instant::max();
        bool attempted = false;
        bool reserved = false;
        /// How many smaller requests were dispatched before this one although they come after it, and the request that this one passes.
        unsigned timesPassed = 0;
        std::optional<Id> passes;
    };

    /// State of one rank. The tags start anew whenever nothing of the rank waits.
    struct Rank {
        std::size_t waiting = 0;
        /// Dispatches of other requests while some of this rank wait, since its last one, or for the least urgent rank its longest waiting
        /// one, was dispatched.
        unsigned sinceReserved = 0;
        double virtualTime = 0;
        absl::flat_hash_map<std::string, double> finishTags;
    };

    struct AnswerTime {
        double meanMs = 0;
        double deviationMs = 0;
        bool known = false;
    };

    /// Tokens dispatched in a span of the rate's window, by rank, and the part of the span in which requests waited.
    struct RateSpan {
        std::int64_t index = -1;
        std::array<double, s_rateRanks> tokens{};
        double waitedSeconds = 0;
    };

    using Iterator = std::vector<Waiting>::iterator;

    static bool precedes(const Waiting &first, const Waiting &second, Instant now);
    /// Whether the first is displaced after the second.
    static bool outlasts(const Waiting &first, const Waiting &second, Instant now);
    /// The promised request that is dispatched next: one that is in time, or else the longest waiting one; null if there is none.
    const Waiting *nextPromised(Instant now) const;
    Iterator find(Id id);
    /// Whether smaller requests may still be dispatched before the one whose attempt failed.
    bool mayBePassed(Id id);
    Rank &rank(std::size_t index);
    static std::size_t sizeClass(Tokens tokens);
    Instant timelyUntil(const Entry &entry) const;
    void assignTag(Waiting &waiting);
    /// The ids to remove so that the request fits; none if it does not.
    std::optional<std::vector<Id>> makeRoom(const Waiting &arriving, std::size_t bytesElsewhere, Instant now) const;
    /// The longest waiting request of the rank; null if there is none.
    const Waiting *longestOfRank(std::size_t rank, bool skipAttempted) const;
    /// The longest waiting request of a rank whose reserved dispatch is due, the least urgent rank first; null if none is due.
    const Waiting *dueReserved() const;
    /// The least urgent rank of which requests wait.
    std::size_t leastUrgentRank() const;
    void countSinceReserved(std::size_t dispatchedRank, bool longestOfItsRank);
    void erase(Iterator entry);
    void refundTeam(const Waiting &waiting);
    /// Seconds after which the request would be dispatched; none while the rate is not known.
    std::optional<double> expectedWait(const Waiting &arriving, Instant now) const;
    void countDispatch(std::size_t rank, Tokens tokens, Instant now);
    std::optional<double> rateOver(std::size_t spans, double minWaitedSeconds, std::size_t mostUrgentRank, Instant now) const;
    void advanceRate(Instant now);
    RateSpan &rateSpan(Instant now);

    static constexpr std::size_t s_rateSpans = 20;
    static constexpr std::size_t s_sizeClasses = 32;

    Options m_options;
    /// In no order: the order depends on the time.
    std::vector<Waiting> m_entries;
    std::vector<Rank> m_ranks;
    /// By the size of requests in tokens, on which the time depends most.
    std::array<AnswerTime, s_sizeClasses> m_answerTimes{};
    std::size_t m_bytes = 0;
    std::uint64_t m_sequence = 0;
    bool m_reservedAttempt = false;
    std::size_t m_promised = 0;
    /// The latest dispatch was of a promised request.
    bool m_promisedLast = false;
    std::array<RateSpan, s_rateSpans> m_rateSpans{};
    Instant m_rateAdvancedAt{};
};

}
