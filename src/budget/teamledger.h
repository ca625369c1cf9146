#pragma once

#include "budget/teamholding.h"
#include "failure/failure.h"
#include "net/signal.h"

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace bamboohold {

/// What a router holds of every team's budget, for requests to reserve from. Lives on one event loop; LedgerKeeper moves tokens between it
/// and the store, CheckpointKeeper writes what the router answers for.
class TeamLedger
{
public:
    struct Options {
        std::string holder;
        std::string incarnation;
        HoldingPolicy policy;
        /// After peers gave less than was asked of them, they are left alone for this long: what they have does not change faster.
        Duration borrowPause = std::chrono::milliseconds(200);
        /// A request waits this long at most for tokens or a checkpoint: both take about ten milliseconds when all is well, and up to a
        /// quarter of a second while the store is slow; a refusal that comes soon lets the caller go elsewhere in time.
        Duration longestWait = std::chrono::milliseconds(150);
        /// Checkpoints for which requests wait follow each other by this at least, so that one write carries several requests.
        Duration groupInterval = std::chrono::milliseconds(12);
        /// A checkpoint that nobody waits for is written this often while anything is held: what a dead router could have committed since
        /// its last one is lost.
        Duration checkpointInterval = std::chrono::milliseconds(250);
        /// And this often while nothing is held.
        Duration idleInterval = std::chrono::seconds(3);
        /// A caller is told when its request's tokens may be committed, if that is no longer off than this.
        Duration paceHorizon = std::chrono::seconds(4);
        /// Told to a caller whose refusal may be over after the next flush.
        std::int64_t retryAfterFlushMs = 500;
        /// Told to a caller whose team has too little left while other requests may still return some.
        std::int64_t retryAfterExhaustionMs = 3000;
    };

    /// One team's holding and what waits for it.
    struct Entry {
        Entry(const boost::asio::any_io_executor &executor, TeamHolding::Options options, const HolderCheckpoint &checkpoint);

        TeamHolding holding;
        /// The store or a peer answered, which may admit those who wait.
        Signal answered;
        /// A flush became more urgent.
        Signal urgent;
        /// A loan is being asked for, or must not be asked for before then.
        bool borrowing = false;
        Instant borrowAgainAt{};
        /// Whether the store answered the last call for this team.
        bool storeAnswers = true;
    };

    TeamLedger(boost::asio::any_io_executor executor, Options options);

    /// This process holds its address alone from now on. Before the first account is opened.
    void start();

    /// Takes over what the plan says of a team. Opens its account on first mention.
    void setPrepaid(const std::string &team, const PrepaidStatement &statement);

    /// Reserves a request's worst case. Failures, all not run: BudgetExhausted when the budget cannot cover it, BudgetUnreachable when this
    /// router does not hold enough now and gets no more in time.
    boost::asio::awaitable<absl::StatusOr<Reservation>> reserve(std::string team, Tokens bound);

    /// Ends a reservation with what was used.
    void settle(const std::string &team, const Reservation &reservation, Tokens used);

    /// Gives a peer tokens of the team; returns how many.
    Tokens lend(const std::string &team, Tokens asked);

    /// Who asks peers for tokens of a team, and returns what they gave.
    using Borrow = std::function<boost::asio::awaitable<Tokens>(std::string team, Tokens asked)>;
    void onShortage(Borrow borrow);

    /// Called with each new account, so that someone keeps it in step with the store.
    void onOpened(std::function<void(Entry &, const std::string &team)> callback);

    /// What this router has promised in the store.
    HolderCheckpoint &checkpoint()
    {
        return *m_checkpoint;
    }

    /// Notified when a request begins to wait for a checkpoint.
    Signal &checkpointUrgent()
    {
        return m_checkpointUrgent;
    }

    /// When the next checkpoint should be written.
    Instant checkpointDue(Instant now) const;

    /// The next checkpoint; none before the first read, and once fenced.
    std::optional<RowTransaction> planCheckpoint(Instant now);

    /// The store decided a checkpoint, which may admit those who wait.
    void checkpointAnswered(const RowVerdict &verdict, Instant now);

    /// Whether the store answered the last checkpoint's write.
    bool checkpointAnswers() const
    {
        return m_checkpointAnswers;
    }

    void setCheckpointAnswers(bool answers)
    {
        m_checkpointAnswers = answers;
    }

    /// Gives everything unused back.
    void beginClose();

    /// True when the store shows nothing of this process any more.
    bool closed() const;

private:
    Entry &entry(const std::string &team);
    absl::Status refusalOf(const Entry &account, HoldingRefusal refusal, Tokens bound) const;
    std::int64_t retryAfterMs(const Entry &account, HoldingRefusal refusal, Tokens bound) const;
    bool mayBorrow(const Entry &account, HoldingRefusal refusal, Tokens bound) const;
    void seek(Entry &account, const std::string &team, HoldingRefusal refusal, Tokens bound);
    boost::asio::awaitable<std::variant<Reservation, HoldingRefusal>> waitFor(Entry &account, std::string team, Tokens bound);
    boost::asio::awaitable<void> borrow(Entry &account, std::string team, Tokens bound);
    void noteServing(Instant now);

    boost::asio::any_io_executor m_executor;
    Options m_options;
    /// Made by start(); holdings refer to it.
    std::unique_ptr<HolderCheckpoint> m_checkpoint;
    Signal m_checkpointUrgent;
    bool m_checkpointAnswers = true;
    std::optional<Instant> m_lastCheckpoint;
    /// Requests that wait for a checkpoint.
    std::size_t m_pacedWaiters = 0;
    std::map<std::string, std::unique_ptr<Entry>, std::less<>> m_entries;
    std::function<void(Entry &, const std::string &)> m_onOpened;
    Borrow m_borrow;
    std::optional<Instant> m_servingSince;
};

}
