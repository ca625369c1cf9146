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

/// What a router has promised in the store about the tokens that it commits, for all teams in one row.
///
/// A router that dies leaves no word of what it committed last. So it commits no more than its newest checkpoint allows, as time passes on
/// its own steady clock, and its successor at the same address counts just that as spent. The guard holds because
/// - the router keeps to every checkpoint that the store may have, also to one whose write was not acknowledged;
/// - a baseline is a store time that is surely not later than the moment from which the router counts, and a suspended router's clock
/// stands
///   still, so that it commits less, never more, than its successor assumes;
/// - the successor's first write is conditional on the row it has read, so that it never goes by an old one, and shuts out late writes;
/// - the successor was able to bind the address, so its predecessor was dead when it started.
///
/// Pure: time and verdicts come in, transactions go out.
class HolderCheckpoint
{
public:
    struct Options {
        /// This router's address.
        std::string holder;
        /// This process.
        std::string incarnation;
        /// When this process had bound its address: any predecessor there was dead by then.
        Instant startedAt{};
    };

    using Commitments = std::map<std::string, Commitment, std::less<>>;

    explicit HolderCheckpoint(Options options);

    /// Where the row stands.
    RowAddress address() const;

    /// True until the row has been read.
    bool wantsRead() const
    {
        return !m_read;
    }

    /// The row's part, as read at the start.
    void loaded(const RowsRead &read);

    /// The next write: `teams` as of now, or the earlier one again while it is undecided. None before the row was read, and once fenced.
    std::optional<RowTransaction> plan(const Commitments &teams, Instant now);

    /// The store decided the write. Returns whether the checkpoint that was planned stands.
    bool answered(const RowVerdict &verdict, Instant now);

    /// The store did not take the write, and never will.
    void declined();

    /// No answer: the write may have taken effect, or may still do so.
    void lost();

    /// The most that may be committed for the team now, by every checkpoint that the store may have.
    Tokens limit(std::string_view team, Instant now) const;

    /// How long after now the limit reaches this much; none when it does not within `horizon`.
    std::optional<Duration> timeUntil(std::string_view team, Tokens committed, Instant now, Duration horizon) const;

    /// True once the predecessors' checkpoints are final: no write of theirs takes effect any more.
    bool sealed() const
    {
        return m_acked.has_value();
    }

    /// What a dead process at this address can have committed for the team; none when it left no checkpoint.
    std::optional<Tokens> spentBy(std::string_view incarnation, std::string_view team) const;

    /// What a dead process at this address had committed for the team at its last checkpoint; 0 when it left none.
    Tokens committedBy(std::string_view incarnation, std::string_view team) const;

    /// All holdings of dead processes at this address are recovered: their checkpoints may go.
    void forgetEarlier()
    {
        m_earlier.clear();
    }

    /// True while checkpoints of dead processes are kept.
    bool keepsEarlier() const
    {
        return !m_earlier.empty();
    }

    /// True when another process has taken over this address.
    bool fenced() const
    {
        return m_fenced;
    }

    /// When the newest checkpoint that the store has acknowledged was made; none before the first.
    std::optional<Instant> ackedFrom() const
    {
        return m_acked ? std::optional(m_acked->start) : std::nullopt;
    }

    /// True while a write is undecided.
    bool undecided() const
    {
        return m_inFlight.has_value();
    }

private:
    /// A checkpoint, and the moment from which this process counts it.
    struct Counted {
        Checkpoint checkpoint;
        Instant start{};
    };

    struct Write {
        RowTransaction transaction;
        Counted counted;
        /// When it was sent last: the store decided the answered copy no earlier.
        Instant sentAt{};
        /// True while it is unknown whether it took effect; it is sent again unchanged until the store decides.
        bool lost = false;
    };

    StoreTimeMs storeTimeAtLeast(Instant now) const;
    void adopt(const StoredRow *row);
    void stand(const RowVerdict &verdict, std::uint64_t version, Instant now);

    Options m_options;
    bool m_read = false;
    bool m_fenced = false;
    std::uint64_t m_version = 0;
    std::uint64_t m_sequence = 0;
    std::optional<Counted> m_acked;
    std::optional<Write> m_inFlight;
    std::vector<Checkpoint> m_earlier;
    /// The store's clock showed no more than this when this process started. From an answer to a transaction: an old read may show an old
    /// time too, and the predecessor would seem to have died before its last commitments.
    std::optional<StoreTimeMs> m_startedBefore;
    /// The store's clock showed at least this much at that instant of this process.
    StoreTimeMs m_storeTime = 0;
    Instant m_storeTimeAt{};
};

}
