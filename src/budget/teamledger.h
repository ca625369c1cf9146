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
#include <vector>

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
        /// This router's link address, by which peers know it.
        std::string link;
        /// After peers gave less than was asked of them, they are left alone for this long: about as long as a checkpoint or a draw at the
        /// lender takes. While it lasts every request of the team is refused here, small ones too that a peer could have covered.
        Duration borrowPause = std::chrono::milliseconds(60);
        /// A lender looks this long for tokens that it does not have at hand: a draw and a checkpoint, less than borrowers wait.
        Duration longestLoanWait = std::chrono::milliseconds(70);
        /// A request waits this long at most for tokens or a checkpoint: both take about ten milliseconds when all is well, and a refusal
        /// that comes soon lets the caller go elsewhere in time.
        Duration longestWait = std::chrono::milliseconds(150);
        /// While the store answers and is slow, a hundred milliseconds or more a call, a request waits longer: the other routers are no
        /// better off. Still within most objectives.
        Duration longestSlowWait = std::chrono::milliseconds(500);
        /// It waits longer where the pace of this router will admit it within this time: sooner than the caller would be back.
        Duration longestPacedWait = std::chrono::milliseconds(400);
        /// Checkpoints for which requests wait follow each other by this at least, so that one write carries several requests.
        Duration groupInterval = std::chrono::milliseconds(12);
        /// A checkpoint that nobody waits for is written this often while anything is held: what a dead router could have committed since
        /// its last one is lost.
        Duration checkpointInterval = std::chrono::milliseconds(250);
        /// This often while all that is held is of ample budgets: their promises cover 2.5 s of demand.
        Duration ampleInterval = std::chrono::seconds(1);
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
        /// Peers that keep the budget said that it does not cover this much; believed until then.
        Tokens uncovered = 0;
        Instant uncoveredUntil{};
        /// Link addresses of the routers that keep the budget, this one left out, in the order in which this one asks them.
        std::vector<std::string> lenders;
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

    /// What a peer got of what it asked for.
    struct Loan {
        Tokens tokens = 0;
        /// The whole budget does not cover what was asked for.
        bool exhausted = false;
    };

    /// Gives a peer tokens of the team.
    boost::asio::awaitable<Loan> lend(std::string team, Tokens asked);

    /// Takes what is left of a loan, or came too late.
    void takeGift(const std::string &team, Tokens tokens);

    /// Who asks these peers, one after the other, for tokens of a team.
    using Borrow = std::function<boost::asio::awaitable<Loan>(std::string team, Tokens asked, std::vector<std::string> lenders)>;
    /// Who hands tokens to a peer.
    using Give = std::function<void(const std::string &peer, const std::string &team, Tokens tokens)>;
    void onShortage(Borrow borrow, Give give);

    /// The routers that live, by link address: decides which of them keep which budget.
    void setRouters(const std::vector<std::string> &routers);

    /// Gives back what a team's requests have not needed for a while. Call now and then.
    void returnIdleLoan(Entry &account, const std::string &team);

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
    bool storeHelps(const Entry &account, HoldingRefusal refusal, Tokens bound) const;
    void seek(Entry &account, HoldingRefusal refusal);
    bool uncovered(const Entry &account, Tokens bound) const;
    bool hopeless(const Entry &account, HoldingRefusal refusal, Tokens bound) const;
    void assignKeepers(Entry &account, const std::string &team);

    /// Who waits for tokens, and how.
    struct Wish {
        Tokens bound = 0;
        Duration longest{};
        bool mayBorrow = true;
    };

    boost::asio::awaitable<std::variant<Reservation, HoldingRefusal>> waitFor(Entry &account, std::string team, Wish wish);
    boost::asio::awaitable<void> borrow(Entry &account, std::string team);
    void noteServing(Instant now);
    Duration checkpointInterval(Instant now) const;

    boost::asio::any_io_executor m_executor;
    Options m_options;
    /// Made by start(); holdings refer to it.
    std::unique_ptr<HolderCheckpoint> m_checkpoint;
    Signal m_checkpointUrgent;
    bool m_checkpointAnswers = true;
    /// What the store takes for a checkpoint, on average.
    Duration m_storeTakes{};
    std::optional<Instant> m_lastCheckpoint;
    /// When the checkpoint on its way was sent first: while answers get lost, the next one stands only after all repeats.
    Instant m_checkpointBegun{};
    /// Requests that wait for tokens or a checkpoint.
    std::size_t m_waiters = 0;
    std::map<std::string, std::unique_ptr<Entry>, std::less<>> m_entries;
    std::function<void(Entry &, const std::string &)> m_onOpened;
    Borrow m_borrow;
    Give m_give;
    std::vector<std::string> m_routers;
    std::optional<Instant> m_servingSince;
};

}
