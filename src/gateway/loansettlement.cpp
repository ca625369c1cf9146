#include "gateway/loansettlement.h"

#include "clock/steadytime.h"
#include "operations/log.h"
#include "routing/stablehash.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace bamboohold {

namespace {

/// Timeout of a call. Peers answer within milliseconds; one that is slower than this is asked again anyway.
constexpr Duration s_callTimeout = std::chrono::seconds(1);
/// Timeout of a gift to a peer of an earlier version.
constexpr Duration s_giftTimeout = std::chrono::milliseconds(120);
/// Lower bound of the wait for the next call, against a busy loop.
constexpr Duration s_minWait = std::chrono::milliseconds(5);

wire::PeerCall callFor(const TransferBook::Call &transfers, std::uint64_t incarnation)
{
    wire::PeerCall call;
    // Peers of earlier versions answer a loan request for a team that they do not know with no tokens.
    call.mutable_loan();
    wire::Settlement &settlement = *call.mutable_settlement();
    settlement.set_sender(incarnation);
    settlement.set_account(transfers.account);
    for (const std::uint64_t number : transfers.voidLoans) {
        settlement.add_void_loans(number);
    }
    for (const TransferBook::Gift &gift : transfers.gifts) {
        wire::NumberedGift &added = *settlement.add_gifts();
        added.set_number(gift.number);
        added.set_team(gift.team);
        added.set_tokens(gift.tokens);
    }
    return call;
}

}

LoanSettlement::LoanSettlement(PeerLink &link, TeamLedger &ledger, Metrics &metrics)
    : m_link(link)
    , m_ledger(ledger)
    , m_metrics(metrics)
    , m_incarnation(stableHash(ledger.incarnation()))
    , m_book({.incarnation = m_incarnation})
    , m_transfers({.incarnation = m_incarnation})
    , m_changed(link.executor())
{
}

std::uint64_t LoanSettlement::begin(wire::LoanRequest &request)
{
    const TransferId id = m_transfers.beginLoan();
    request.set_borrower(id.sender);
    request.set_number(id.number);
    return id.number;
}

bool LoanSettlement::accept(std::uint64_t number, const std::string &peer, const wire::PeerAnswer &answer)
{
    const wire::Loan &loan = answer.lent();
    // The answer to a call of an earlier process at this address may reach this one.
    const bool foreign = loan.borrower() != 0 && loan.borrower() != m_incarnation;
    if (!answer.has_lent() || foreign || !m_transfers.acceptAnswer(number)) {
        return false;
    }
    if (loan.account() != 0) {
        m_transfers.recordAccount(peer, loan.account(), steadyNow());
    }
    return true;
}

void LoanSettlement::declareVoid(std::uint64_t number, const std::string &peer, const std::string &team, Tokens asked)
{
    logLine(Severity::Warning,
            "budget.loan_void",
            {{"team", team}, {"peer", peer}, {"asked", asked}, {"loan", static_cast<std::int64_t>(number)}});
    m_transfers.declareVoid(number, peer, team, asked, steadyNow());
    wake();
}

void LoanSettlement::give(const std::string &peer, const std::string &team, Tokens tokens)
{
    m_transfers.addGift(peer, team, tokens, steadyNow());
    wake();
}

boost::asio::awaitable<wire::PeerAnswer> LoanSettlement::lend(wire::LoanRequest request)
{
    wire::PeerAnswer answer;
    const TransferId id{.sender = request.borrower(), .number = request.number()};
    const bool numbered = id.number != 0;
    LoanBook::RequestDecision decision{.verdict = LoanBook::RequestVerdict::Lend};
    if (numbered) {
        decision = m_book.requestLoan(id, request.team(), steadyNow());
    }
    if (decision.verdict == LoanBook::RequestVerdict::Refuse) {
        logLine(Severity::Info, "budget.loan_refused", {{"team", request.team()}, {"loan", static_cast<std::int64_t>(id.number)}});
        co_return answer;
    }
    TeamLedger::Loan loan{.tokens = decision.tokens, .exhausted = decision.exhausted};
    if (decision.verdict == LoanBook::RequestVerdict::Lend) {
        loan = co_await m_ledger.lend(request.team(), request.tokens());
        if (numbered && !m_book.lent(id, loan.tokens, loan.exhausted)) {
            takeBack(request.team(), loan.tokens);
            co_return answer;
        }
    }
    answer.mutable_lent()->set_tokens(loan.tokens);
    answer.mutable_lent()->set_exhausted(loan.exhausted);
    if (numbered) {
        answer.mutable_lent()->set_borrower(id.sender);
        answer.mutable_lent()->set_account(m_book.account(steadyNow()));
    }
    answer.set_done(true);
    co_return answer;
}

wire::PeerAnswer LoanSettlement::settle(const wire::Settlement &settlement)
{
    wire::PeerAnswer answer;
    const Instant now = steadyNow();
    for (const std::uint64_t number : settlement.void_loans()) {
        const LoanBook::VoidLoan loan = m_book.declareVoid({.sender = settlement.sender(), .number = number}, now);
        if (loan.forgotten) {
            logLine(Severity::Warning, "budget.void_loan_forgotten", {{"loan", static_cast<std::int64_t>(number)}});
        }
        takeBack(loan.team, loan.tokens);
    }
    for (const wire::NumberedGift &gift : settlement.gifts()) {
        const TransferId id{.sender = settlement.sender(), .number = gift.number()};
        const LoanBook::GiftVerdict verdict = m_book.receiveGift(id, settlement.account(), now);
        if (verdict == LoanBook::GiftVerdict::Add) {
            m_ledger.acceptReturnedTokens(gift.team(), gift.tokens());
        }
        if (verdict == LoanBook::GiftVerdict::Refuse) {
            logLine(Severity::Warning, "budget.gift_refused", {{"team", gift.team()}, {"tokens", gift.tokens()}});
        } else {
            answer.mutable_settled()->add_added(gift.number());
        }
    }
    answer.mutable_settled()->set_account(m_book.account(now));
    answer.set_done(true);
    const std::size_t forgotten = m_book.takeForgottenCount();
    if (forgotten > 0) {
        logLine(Severity::Warning, "budget.loans_forgotten", {{"loans", static_cast<std::int64_t>(forgotten)}});
    }
    return answer;
}

void LoanSettlement::takeBack(const std::string &team, Tokens tokens)
{
    if (tokens == 0) {
        return;
    }
    logLine(Severity::Info, "budget.loan_taken_back", {{"team", team}, {"tokens", tokens}});
    countTokens("budget_tokens_taken_back_total", team, tokens);
    m_ledger.acceptReturnedTokens(team, tokens);
}

void LoanSettlement::wake()
{
    if (m_running) {
        m_changed.notify();
        return;
    }
    m_running = true;
    boost::asio::co_spawn(m_link.executor(), run(), boost::asio::detached);
}

boost::asio::awaitable<void> LoanSettlement::run()
{
    while (true) {
        for (TransferBook::Call &call : m_transfers.due(steadyNow())) {
            const auto shared = std::make_shared<const TransferBook::Call>(std::move(call));
            boost::asio::co_spawn(m_link.executor(), send(shared), boost::asio::detached);
        }
        reportGivenUp();
        const std::optional<Instant> next = m_transfers.nextDue();
        if (!next) {
            break;
        }
        co_await m_changed.wait(std::max<Duration>(*next - steadyNow(), s_minWait));
    }
    m_running = false;
}

boost::asio::awaitable<void> LoanSettlement::send(SharedCall call)
{
    wire::PeerCall message = callFor(*call, m_incarnation);
    const absl::StatusOr<wire::PeerAnswer> answer = co_await m_link.sendCall(call->peer, std::move(message), s_callTimeout);
    const Instant now = steadyNow();
    if (!answer.ok()) {
        m_transfers.unanswered(*call, now);
    } else if (answer->has_settled()) {
        const std::set<std::uint64_t> added(answer->settled().added().begin(), answer->settled().added().end());
        m_transfers.answered(*call, answer->settled().account(), added, now);
    } else {
        for (const TransferBook::Gift &gift : m_transfers.notUnderstood(*call, now)) {
            boost::asio::co_spawn(m_link.executor(), sendUnnumbered(call->peer, gift.team, gift.tokens), boost::asio::detached);
        }
    }
    reportGivenUp();
    wake();
}

boost::asio::awaitable<void> LoanSettlement::sendUnnumbered(std::string peer, std::string team, Tokens tokens)
{
    wire::PeerCall call;
    call.mutable_gift()->set_team(team);
    call.mutable_gift()->set_tokens(tokens);
    const absl::StatusOr<wire::PeerAnswer> answer = co_await m_link.sendCall(peer, std::move(call), s_giftTimeout);
    if (!answer.ok()) {
        // Sent once: tokens sent again could be spent twice.
        logLine(Severity::Warning, "budget.gift_unanswered", {{"team", team}, {"peer", peer}, {"tokens", tokens}});
        countTokens("budget_tokens_given_up_total", team, tokens);
    }
}

void LoanSettlement::reportGivenUp()
{
    for (const TransferBook::GivenUp &transfer : m_transfers.takeGivenUp()) {
        logLine(Severity::Warning,
                transfer.gift ? "budget.gift_given_up" : "budget.loan_given_up",
                {{"team", transfer.team}, {"peer", transfer.peer}, {"tokens", transfer.tokens}});
        countTokens("budget_tokens_given_up_total", transfer.team, transfer.tokens);
    }
}

void LoanSettlement::countTokens(std::string_view series, std::string_view team, Tokens tokens)
{
    const std::array<MetricLabel, 1> labels{{{.name = "team", .value = team}}};
    m_metrics.count(series, labels, tokens);
}

}
