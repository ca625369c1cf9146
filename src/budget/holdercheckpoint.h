#pragma once

#include "budget/checkpointrow.h"
#include "clock/instant.h"
#include "store/rowstore.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// Limits what a router commits, for all teams in one row of the store. When the router dies, its successor knows from that row how much it
/// can have spent.
///
/// A router that dies cannot report its last commitments. It therefore commits no more than its newest checkpoint allows as time passes on
/// its own steady clock, and its successor at the same address counts exactly that as spent. This is safe because
/// - the router respects every checkpoint that the store may contain, including one whose write was not acknowledged;
/// - a baseline is a store time that is certainly not later than the moment from which the router counts, and the steady clock of a
///   suspended router stands still, so that it commits less than its successor assumes, never more;
/// - the successor's first write is conditional on the row that it read, so it never relies on an outdated row, and it fences off later
///   writes of the predecessor;
/// - the successor could bind the address, so its predecessor was dead when it started;
/// - a checkpoint of an earlier generation of the store is not relied on, because the store may have lost a later one.
///
/// Performs no I/O and reads no clock: the caller passes in times and the store's verdicts, and sends the transactions.
class HolderCheckpoint
{
public:
    struct Options {
        /// This router's address.
        std::string holder;
        /// Identifies this process.
        std::string incarnation;
        /// When this process had bound its address. Any predecessor was dead by then.
        Instant startedAt{};
    };

    using Commitments = std::map<std::string, Commitment, std::less<>>;

    explicit HolderCheckpoint(Options options);

    /// The address of the row in the store.
    RowAddress address() const;

    /// Whether the row has yet to be read.
    bool needsRead() const
    {
        return !m_read;
    }

    /// Takes the router's part of the checkpoint table, as read at the start.
    void handleRead(const RowsSnapshot &read);

    /// The next write: a checkpoint with the commitments `teams` as of now, or the previous write again while its outcome is unknown. None
    /// before the row has been read, and once fenced.
    std::optional<RowTransaction> planWrite(const Commitments &teams, Instant now);

    /// The store decided the write. Returns whether the planned checkpoint is in effect.
    bool writeAnswered(const RowTransactionResult &verdict, Instant now);

    /// The store did not accept the write, and it will not take effect later.
    void writeDeclined();

    /// No answer arrived: the write may have taken effect, or may still do so.
    void writeLost();

    /// The maximum number of committed tokens for the team now, under every checkpoint that the store may contain.
    Tokens limit(std::string_view team, Instant now) const;

    /// Time from now until the limit reaches `committed`; none when it does not within `horizon`.
    std::optional<Duration> timeUntil(std::string_view team, Tokens committed, Instant now, Duration horizon) const;

    /// Whether the predecessors' checkpoints are final: none of their writes can take effect any more.
    bool predecessorsFenced() const
    {
        return m_acknowledged.has_value();
    }

    /// The maximum that a dead process at this address can have committed for the team; none when it left no checkpoint.
    std::optional<Tokens> maxSpentBy(std::string_view incarnation, std::string_view team) const;

    /// What a dead process at this address had committed for the team at its last checkpoint; 0 when it left none.
    Tokens committedAtCheckpoint(std::string_view incarnation, std::string_view team) const;

    /// Discards the checkpoints of dead processes at this address, once all their holdings are recovered.
    void discardPredecessors()
    {
        m_predecessors.clear();
    }

    /// Whether checkpoints of dead processes are kept.
    bool hasPredecessors() const
    {
        return !m_predecessors.empty();
    }

    /// Whether another process has taken over this address.
    bool fenced() const
    {
        return m_fenced;
    }

    /// When the newest acknowledged checkpoint was made; none before the first.
    std::optional<Instant> acknowledgedCheckpointTime() const
    {
        return m_acknowledged ? std::optional(m_acknowledged->start) : std::nullopt;
    }

    /// Whether the outcome of a write is pending.
    bool writePending() const
    {
        return m_inFlight.has_value();
    }

private:
    /// A checkpoint, and the time on this process's clock at which it was made.
    struct TimedCheckpoint {
        Checkpoint checkpoint;
        Instant start{};
    };

    struct Write {
        RowTransaction transaction;
        TimedCheckpoint timed;
        /// When the write was last sent. The store decided the answered copy no earlier.
        Instant sentAt{};
        /// Whether the outcome is unknown. The write is then sent again unchanged until the store decides it.
        bool outcomeUnknown = false;
    };

    StoreTimeMs minStoreTime(Instant now) const;
    void adopt(const StoredRow *row, StoreGeneration generation);
    /// The store has returned from a copy. Checkpoints of dead processes that were read before are final and stay valid.
    void beginGeneration(StoreGeneration generation);
    void acknowledge(const RowTransactionResult &verdict, std::uint64_t version, Instant now);

    Options m_options;
    bool m_read = false;
    bool m_fenced = false;
    std::uint64_t m_version = 0;
    /// The newest generation that the store has shown.
    StoreGeneration m_generation = 0;
    std::uint64_t m_sequence = 0;
    std::optional<TimedCheckpoint> m_acknowledged;
    std::optional<Write> m_inFlight;
    std::vector<Checkpoint> m_predecessors;
    /// Upper limit of the store's clock at the start of this process. Taken from the answer to a transaction: an outdated read may carry an
    /// outdated time, and the predecessor would seem to have died before its last commitments.
    std::optional<StoreTimeMs> m_startedBefore;
    /// The store's clock showed at least `m_storeTime` at `m_storeTimeAt` on this process's clock.
    StoreTimeMs m_storeTime = 0;
    Instant m_storeTimeAt{};
};

}
