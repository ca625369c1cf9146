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

/// What a router holds of every team's budget, for requests to reserve from. Used on one event loop only. LedgerSynchronizer moves tokens
/// between the ledger and the store, and CheckpointWriter writes the router's checkpoints.
class TeamLedger
{
public:
    struct Options {
        std::string holder;
        std::string incarnation;
        HoldingPolicy policy;
        /// This router's link address, by which peers identify it.
        std::string linkAddress;
        /// After peers lent less than was asked for, they are not asked again for this long: about the time of a checkpoint or a draw at
        /// the lender. Until then every request of the team that needs a loan is refused here, even a small one that a peer could have
        /// covered.
        Duration borrowPause = std::chrono::milliseconds(60);
        /// Maximum time a lender waits for tokens that it does not have at hand: a draw and a checkpoint, and less than borrowers wait.
        Duration maxLoanWait = std::chrono::milliseconds(70);
        /// Maximum time a request waits for tokens or a checkpoint. Both take about ten milliseconds in normal operation, and an early
        /// refusal lets the caller go elsewhere in time.
        Duration maxWait = std::chrono::milliseconds(150);
        /// Maximum time a request waits while the store answers slowly, a hundred milliseconds or more a call: the other routers have the
        /// same problem. Still shorter than most latency objectives.
        Duration maxSlowWait = std::chrono::milliseconds(500);
        /// A request waits longer than `maxWait` if the growth of the commitment will admit it within this time, which is sooner than the
        /// caller would retry.
        Duration maxCommitLimitWait = std::chrono::milliseconds(400);
        /// Minimum interval between checkpoints that requests wait for, so that one write serves several requests.
        Duration batchInterval = std::chrono::milliseconds(12);
        /// Interval between checkpoints that no request waits for, while tokens are held. What a router could have committed since its last
        /// checkpoint is lost when it dies.
        Duration checkpointInterval = std::chrono::milliseconds(250);
        /// Interval while all held tokens belong to ample budgets, whose commitments cover 2.5 s of demand.
        Duration ampleInterval = std::chrono::seconds(1);
        /// Interval while no tokens are held.
        Duration idleInterval = std::chrono::seconds(3);
        /// A refused caller is told when its request's tokens can be committed if that is within this time.
        Duration commitHorizon = std::chrono::seconds(4);
        /// Retry-After for a refusal that the next flush may remedy, in milliseconds.
        std::int64_t retryAfterFlushMs = 500;
        /// Retry-After when the team's remaining tokens do not cover the request, in milliseconds; requests in flight may still return
        /// some.
        std::int64_t retryAfterExhaustionMs = 3000;
    };

    /// One team's holding, and the state of the requests that wait for it.
    struct Entry {
        Entry(const boost::asio::any_io_executor &executor, TeamHolding::Options options, const HolderCheckpoint &checkpoint);

        TeamHolding holding;
        /// Notified when the store or a peer has answered, which may admit requests that wait.
        Signal answerSignal;
        /// Notified when a flush has become more urgent.
        Signal flushSignal;
        /// Whether a loan request is in progress, and the time before which no other may be made.
        bool borrowing = false;
        Instant nextBorrowAt{};
        /// Assigned holders reported that the budget does not cover this many tokens. Valid until `uncoveredUntil`.
        Tokens uncoveredAmount = 0;
        Instant uncoveredUntil{};
        /// Link addresses of the assigned holders except this router, in the order in which it asks them.
        std::vector<std::string> lenders;
        /// Whether the store answered the last call for this team.
        bool storeReachable = true;
    };

    TeamLedger(boost::asio::any_io_executor executor, Options options);

    /// Identifies this process.
    const std::string &incarnation() const
    {
        return m_options.incarnation;
    }

    /// Creates the checkpoint of this process, which from now on is the only one at its address. To be called before the first account is
    /// opened.
    void start();

    /// Takes the plan's statement about a team. Opens the team's account on its first mention.
    void setPrepaid(const std::string &team, const PrepaidStatement &statement);

    /// Reserves a request's upper bound of tokens. Fails, always with the request not run, with BudgetExhausted when the budget cannot
    /// cover it, and with BudgetUnreachable when this router does not hold enough and gets no more in time.
    boost::asio::awaitable<absl::StatusOr<Reservation>> reserve(std::string team, Tokens bound);

    /// Ends a reservation and records the tokens that were used.
    void settle(const std::string &team, const Reservation &reservation, Tokens used);

    /// The result of a loan request.
    struct Loan {
        Tokens tokens = 0;
        /// Whether the whole budget does not cover what was asked for.
        bool exhausted = false;
    };

    /// Lends tokens of the team to a peer.
    boost::asio::awaitable<Loan> lend(std::string team, Tokens asked);

    /// Accepts tokens that a peer returns, a loan that arrived too late, or a loan of this router that its borrower has declared void.
    void acceptReturnedTokens(const std::string &team, Tokens tokens);

    /// Asks the given peers, one after the other, for tokens of a team.
    using BorrowFunction = std::function<boost::asio::awaitable<Loan>(std::string team, Tokens asked, std::vector<std::string> lenders)>;
    /// Returns tokens to a peer.
    using ReturnFunction = std::function<void(const std::string &peer, const std::string &team, Tokens tokens)>;
    /// Sets the functions that exchange tokens with peers.
    void setPeerFunctions(BorrowFunction borrow, ReturnFunction giveBack);

    /// Sets the routers that are alive, by link address. Determines which of them are assigned to hold which budget.
    void setRouters(const std::vector<std::string> &routers);

    /// Returns borrowed tokens that the team's requests have not needed for a while. To be called periodically.
    void returnIdleLoan(Entry &account, const std::string &team);

    /// Sets a function to be called with each new account, so that it can be synchronized with the store.
    void onOpened(std::function<void(Entry &, const std::string &team)> callback);

    /// This router's checkpoint in the store.
    HolderCheckpoint &checkpoint()
    {
        return *m_checkpoint;
    }

    /// Notified when a request begins to wait for a checkpoint.
    Signal &checkpointUrgent()
    {
        return m_checkpointUrgent;
    }

    /// Time at which the next checkpoint is due.
    Instant checkpointDue(Instant now) const;

    /// The next checkpoint; none before the row has been read, and once fenced.
    std::optional<RowTransaction> planCheckpoint(Instant now);

    /// The store decided a checkpoint, which may admit requests that wait.
    void checkpointAnswered(const RowTransactionResult &verdict, Instant now);

    /// Whether the store answered the last write of a checkpoint.
    bool checkpointStoreReachable() const
    {
        return m_checkpointStoreReachable;
    }

    void setCheckpointStoreReachable(bool reachable)
    {
        m_checkpointStoreReachable = reachable;
    }

    /// Starts to return all unused tokens.
    void beginClose();

    /// Whether the store has no budget rows of this process any more, or another process has taken them over.
    bool closed() const;

private:
    Entry &entry(const std::string &team);
    absl::Status refusalStatus(const Entry &account, HoldingRefusal refusal, Tokens bound) const;
    std::int64_t retryAfterMs(const Entry &account, HoldingRefusal refusal, Tokens bound) const;
    bool mayBorrow(const Entry &account, HoldingRefusal refusal, Tokens bound) const;
    bool storeCanServe(const Entry &account, HoldingRefusal refusal, Tokens bound) const;
    void wakeWriters(Entry &account, HoldingRefusal refusal);
    bool knownUncovered(const Entry &account, Tokens bound) const;
    bool cannotBeAdmitted(const Entry &account, HoldingRefusal refusal, Tokens bound) const;
    void updateAssignment(Entry &account, const std::string &team);

    /// How a request or a loan waits for tokens.
    struct WaitOptions {
        Tokens bound = 0;
        Duration timeout{};
        bool mayBorrow = true;
    };

    boost::asio::awaitable<std::variant<Reservation, HoldingRefusal>>
    waitForTokens(Entry &account, std::string team, WaitOptions waitOptions);
    boost::asio::awaitable<void> borrow(Entry &account, std::string team);
    void noteServing(Instant now);
    Duration checkpointInterval(Instant now) const;

    boost::asio::any_io_executor m_executor;
    Options m_options;
    /// Created by start(); holdings refer to it.
    std::unique_ptr<HolderCheckpoint> m_checkpoint;
    Signal m_checkpointUrgent;
    bool m_checkpointStoreReachable = true;
    /// Average time the store takes for a checkpoint.
    Duration m_storeLatency{};
    /// Average time that loans take.
    Duration m_loanLatency{};
    std::optional<Instant> m_lastCheckpoint;
    /// When the checkpoint in flight was first sent: while answers are lost, the next one takes effect only after all repeats.
    Instant m_checkpointFirstSent{};
    /// Number of requests and loans that wait for tokens or a checkpoint.
    std::size_t m_waiters = 0;
    std::map<std::string, std::unique_ptr<Entry>, std::less<>> m_entries;
    std::function<void(Entry &, const std::string &)> m_onOpened;
    BorrowFunction m_borrow;
    ReturnFunction m_return;
    std::vector<std::string> m_routers;
    std::optional<Instant> m_servingSince;
};

}
