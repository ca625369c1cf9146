#pragma once

#include "budget/loanbook.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// The loans that a router requests from peers and the tokens that it gives them, until both sides agree on each.
///
/// A request without an answer is declared void: an answer that arrives later is not accepted, and the lender is told so, again and again,
/// until it acknowledges. It then has its tokens back. Gifts are repeated until they are acknowledged. What is not acknowledged for long,
/// or by another process than the one that may have received it, stays counted as spent.
///
/// Performs no I/O and reads no clock: the caller sends the calls and passes in their outcomes.
class TransferBook
{
public:
    struct Options {
        /// The hash of this process's incarnation.
        std::uint64_t incarnation = 0;
        /// Time after which an unanswered call is repeated; doubles with each repetition up to the second one.
        Duration firstRepeat = std::chrono::milliseconds(250);
        Duration maxRepeat = std::chrono::seconds(2);
        /// Minimum interval between two repeated calls, whichever peers they go to: limits the traffic of a router that is cut off from
        /// hundreds of peers.
        Duration repeatInterval = std::chrono::milliseconds(100);
        /// How long a call is repeated.
        Duration giveUpAfter = std::chrono::minutes(10);
        /// How long after a peer has stated its account it is assumed to be the same process; afterwards it is asked first.
        Duration accountValidity = std::chrono::seconds(5);
        /// Number of unacknowledged requests and gifts. What is not remembered stays counted as spent.
        std::size_t maxEntries = 4096;
        /// Number of requests, and of gifts, in one call.
        std::size_t maxPerCall = 64;
    };

    explicit TransferBook(Options options);

    /// A new loan request. Each one must end with acceptAnswer() or declareVoid().
    TransferId beginLoan();

    /// An answer to a loan request has arrived. Returns whether it may be accepted: the first one is, unless the request is void.
    bool acceptAnswer(std::uint64_t number);

    /// No answer to a loan request has arrived in time. `asked` is what the peer may have lent.
    void declareVoid(std::uint64_t number, const std::string &peer, const std::string &team, Tokens asked, Instant now);

    /// Tokens are to be given to a peer.
    void addGift(const std::string &peer, const std::string &team, Tokens tokens, Instant now);

    /// A peer has stated its account.
    void recordAccount(const std::string &peer, std::uint64_t account, Instant now);

    struct Gift {
        std::uint64_t number = 0;
        std::string team;
        Tokens tokens = 0;
    };

    /// A call to a peer. One without gifts and void requests asks for the peer's account.
    struct Call {
        std::string peer;
        /// The account that the gifts are meant for.
        std::uint64_t account = 0;
        std::vector<std::uint64_t> voidLoans;
        std::vector<Gift> gifts;
    };

    /// The calls to be made now. The outcome of each is to be reported.
    std::vector<Call> due(Instant now);

    /// When due() will have something; none when all is acknowledged or under way.
    std::optional<Instant> nextDue() const;

    /// The peer has answered a call: its account, and which of the gifts it has added.
    void answered(const Call &call, std::uint64_t account, const std::set<std::uint64_t> &added, Instant now);

    /// The peer has not answered a call in time.
    void unanswered(const Call &call, Instant now);

    /// The peer has answered like a process of an earlier version, which knows no such calls. Returns the gifts that were never sent, to be
    /// sent to it in the earlier way; they are forgotten here.
    std::vector<Gift> notUnderstood(const Call &call, Instant now);

    /// A transfer that is not repeated any more. Its tokens may be counted as spent although nobody can use them.
    struct GivenUp {
        std::string peer;
        std::string team;
        /// Of a loan: what was asked for.
        Tokens tokens = 0;
        bool gift = false;
    };

    /// The transfers given up since the last call.
    std::vector<GivenUp> takeGivenUp();

private:
    struct VoidLoan {
        std::uint64_t number = 0;
        std::string team;
        Tokens asked = 0;
        Instant since{};
    };

    struct PendingGift {
        Gift gift;
        Instant since{};
        /// The account that it was sent to; 0 before it was sent.
        std::uint64_t account = 0;
    };

    struct Peer {
        std::vector<VoidLoan> voidLoans;
        std::vector<PendingGift> gifts;
        std::uint64_t account = 0;
        Instant accountSince{};
        bool calling = false;
        /// Unanswered calls in a row.
        int failures = 0;
        Instant due{};

        bool settled() const
        {
            return voidLoans.empty() && gifts.empty();
        }
    };

    bool full() const
    {
        return m_entries >= m_options.maxEntries;
    }

    void expire(Instant now);
    void expire(const std::string &address, Peer &peer, Instant now);
    Call makeCall(const std::string &address, Peer &peer, Instant now) const;
    void eraseFinished(const std::string &address, Peer &peer, const Call &call, const std::set<std::uint64_t> &added);

    Options m_options;
    std::uint64_t m_lastNumber = 0;
    std::set<std::uint64_t> m_open;
    std::map<std::string, Peer, std::less<>> m_peers;
    std::size_t m_entries = 0;
    Instant m_nextRepeat{};
    std::vector<GivenUp> m_givenUp;
};

}
