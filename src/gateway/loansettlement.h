#pragma once

#include "budget/loanbook.h"
#include "budget/teamledger.h"
#include "budget/transferbook.h"
#include "membership/peerlink.h"
#include "net/signal.h"
#include "operations/metrics.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace bamboohold {

/// Sees to it that no tokens are lost when peers do not answer loan requests and gifts: the runtime around LoanBook and TransferBook. Peers
/// of earlier versions are treated as they treat each other. The link, the ledger and the metrics must outlive this object.
class LoanSettlement
{
public:
    LoanSettlement(PeerLink &link, TeamLedger &ledger, Metrics &metrics);

    /// Gives a loan request its id. Returns its number, which has to be passed to accept() or declareVoid().
    std::uint64_t begin(wire::LoanRequest &request);

    /// Whether the answer to a loan request may be accepted. If not, the request is to be declared void.
    bool accept(std::uint64_t number, const std::string &peer, const wire::PeerAnswer &answer);

    /// No answer to a loan request has arrived in time. `asked` is what the peer may have lent.
    void declareVoid(std::uint64_t number, const std::string &peer, const std::string &team, Tokens asked);

    /// Gives tokens to a peer.
    void give(const std::string &peer, const std::string &team, Tokens tokens);

    /// Answers a peer's loan request.
    boost::asio::awaitable<wire::PeerAnswer> lend(wire::LoanRequest request);

    /// Takes back the loans that a peer has declared void, and adds its gifts.
    wire::PeerAnswer settle(const wire::Settlement &settlement);

private:
    using SharedCall = std::shared_ptr<const TransferBook::Call>;

    void wake();
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> send(SharedCall call);
    boost::asio::awaitable<void> sendUnnumbered(std::string peer, std::string team, Tokens tokens);
    void takeBack(const std::string &team, Tokens tokens);
    void reportGivenUp();
    void countTokens(std::string_view series, std::string_view team, Tokens tokens);

    PeerLink &m_link;
    TeamLedger &m_ledger;
    Metrics &m_metrics;
    std::uint64_t m_incarnation;
    LoanBook m_book;
    TransferBook m_transfers;
    Signal m_changed;
    bool m_running = false;
};

}
