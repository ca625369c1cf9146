#pragma once

#include "clock/instant.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <tuple>

namespace bamboohold {

/// Identifies a loan request, or a gift, among those of all processes: the process that sends it, by the hash of its incarnation, and a
/// number that it uses once.
struct TransferId {
    std::uint64_t sender = 0;
    std::uint64_t number = 0;

    auto operator<=>(const TransferId &other) const
    {
        return std::tie(sender, number) <=> std::tie(other.sender, other.number);
    }
};

/// What a router has lent to peers and received from them, by id, so that a repeated message has no second effect and a loan whose answer
/// was lost can be taken back.
///
/// A borrower that has no answer declares its request void: it accepts no answer any more. Only then are the tokens of the loan taken back,
/// once, and nothing is lent on that request afterwards. A loan that this book has forgotten stays counted as spent.
///
/// A gift is added once. The giver names the account that it is meant for, which this process states in its answers, so that a gift that an
/// earlier process may have received is refused. The account changes from time to time; gifts to all but the last two are refused, so that
/// their ids need not be remembered.
///
/// Performs no I/O and reads no clock.
class LoanBook
{
public:
    struct Options {
        /// The hash of this process's incarnation.
        std::uint64_t incarnation = 0;
        /// How long, and how many, loans are remembered. Longer than TransferBook repeats that a request is void.
        Duration loanMemory = std::chrono::minutes(30);
        std::size_t maxLoans = 32'768;
        /// How long an account is stated to givers.
        Duration accountTerm = std::chrono::minutes(10);
        /// Number of remembered gifts. Further ones are refused.
        std::size_t maxGifts = 32'768;
    };

    explicit LoanBook(Options options);

    /// What to do with a loan request.
    enum class RequestVerdict {
        /// Lend, and call lent() with the result.
        Lend,
        /// It was answered before: give the same answer.
        Repeat,
        /// It is void, forgotten, or being answered: lend nothing and do not answer with a loan.
        Refuse,
    };

    struct RequestDecision {
        RequestVerdict verdict = RequestVerdict::Refuse;
        /// The earlier answer, if it is to be repeated.
        Tokens tokens = 0;
        bool exhausted = false;
    };

    /// A peer requests a loan.
    RequestDecision requestLoan(const TransferId &id, const std::string &team, Instant now);

    /// Tokens were lent on a request that was to be answered. Returns whether the loan stands; otherwise it was declared void in the
    /// meantime, and the tokens are to be taken back now.
    bool lent(const TransferId &id, Tokens tokens, bool exhausted);

    /// A loan to be taken back.
    struct VoidLoan {
        std::string team;
        /// 0 if nothing was lent, or was taken back before.
        Tokens tokens = 0;
        /// The request is older than those that are remembered. What was lent on it, if anything, stays counted as spent.
        bool forgotten = false;
    };

    /// The borrower declares a request void.
    VoidLoan declareVoid(const TransferId &id, Instant now);

    /// The account to be stated to peers.
    std::uint64_t account(Instant now);

    enum class GiftVerdict {
        /// To be added to the holding.
        Add,
        /// Was added before.
        Known,
        /// Not to be added, now or later: it may have been added by another process, or longer ago than is remembered.
        Refuse,
    };

    /// A peer gives tokens, to the given account.
    GiftVerdict receiveGift(const TransferId &id, std::uint64_t account, Instant now);

    /// Number of loans forgotten because there were too many, since the last call. Those that their borrowers declare void later stay
    /// counted as spent.
    std::size_t takeForgottenCount();

private:
    struct Loan {
        enum class State {
            BeingLent,
            Lent,
            Void,
        };

        std::string team;
        State state = State::BeingLent;
        Tokens tokens = 0;
        bool exhausted = false;
    };

    struct Entry {
        TransferId id;
        Instant since{};
    };

    void forget(Instant now);
    void remember(const TransferId &id, Loan loan, Instant now);
    bool forgotten(const TransferId &id) const;
    void advanceTerm(Instant now);

    Options m_options;
    std::map<TransferId, Loan> m_loans;
    /// The same in the order in which they became known.
    std::deque<Entry> m_loanOrder;
    /// The highest forgotten number of each borrower.
    std::map<std::uint64_t, std::uint64_t> m_forgottenUpTo;
    std::size_t m_forgottenCount = 0;
    /// Received gifts, and the term in which each was received.
    std::map<TransferId, std::uint64_t> m_gifts;
    std::uint64_t m_term = 1;
    Instant m_termSince{};
};

}
