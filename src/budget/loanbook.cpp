#include "budget/loanbook.h"

#include <algorithm>
#include <utility>

namespace bamboohold {

namespace {

/// Number of borrowers whose highest forgotten number is kept. Beyond it all are dropped: a request that old would lose its tokens to the
/// team, and nothing else.
constexpr std::size_t s_maxForgottenBorrowers = 8192;

}

LoanBook::LoanBook(Options options)
    : m_options(options)
{
}

bool LoanBook::forgotten(const TransferId &id) const
{
    const auto found = m_forgottenUpTo.find(id.sender);
    return found != m_forgottenUpTo.end() && id.number <= found->second;
}

void LoanBook::forget(Instant now)
{
    while (!m_loanOrder.empty()) {
        const Entry &oldest = m_loanOrder.front();
        const bool tooMany = m_loanOrder.size() > m_options.maxLoans;
        if (!tooMany && now - oldest.since < m_options.loanMemory) {
            return;
        }
        if (m_forgottenUpTo.size() >= s_maxForgottenBorrowers && !m_forgottenUpTo.contains(oldest.id.sender)) {
            m_forgottenUpTo.clear();
        }
        std::uint64_t &highest = m_forgottenUpTo[oldest.id.sender];
        highest = std::max(highest, oldest.id.number);
        m_forgottenCount += tooMany ? 1 : 0;
        m_loans.erase(oldest.id);
        m_loanOrder.pop_front();
    }
}

void LoanBook::remember(const TransferId &id, Loan loan, Instant now)
{
    m_loans.emplace(id, std::move(loan));
    m_loanOrder.push_back({.id = id, .since = now});
    forget(now);
}

LoanBook::RequestDecision LoanBook::requestLoan(const TransferId &id, const std::string &team, Instant now)
{
    const auto found = m_loans.find(id);
    if (found == m_loans.end()) {
        if (forgotten(id)) {
            return {};
        }
        remember(id, {.team = team}, now);
        return {.verdict = RequestVerdict::Lend};
    }
    const Loan &loan = found->second;
    if (loan.state != Loan::State::Lent) {
        return {};
    }
    return {.verdict = RequestVerdict::Repeat, .tokens = loan.tokens, .exhausted = loan.exhausted};
}

bool LoanBook::lent(const TransferId &id, Tokens tokens, bool exhausted)
{
    const auto found = m_loans.find(id);
    if (found == m_loans.end()) {
        // Forgotten while it was being lent.
        return true;
    }
    Loan &loan = found->second;
    if (loan.state == Loan::State::Void) {
        return false;
    }
    loan.state = Loan::State::Lent;
    loan.tokens = tokens;
    loan.exhausted = exhausted;
    return true;
}

LoanBook::VoidLoan LoanBook::declareVoid(const TransferId &id, Instant now)
{
    const auto found = m_loans.find(id);
    if (found == m_loans.end()) {
        if (forgotten(id)) {
            return {.forgotten = true};
        }
        remember(id, {.state = Loan::State::Void}, now);
        return {};
    }
    Loan &loan = found->second;
    loan.state = Loan::State::Void;
    return {.team = loan.team, .tokens = std::exchange(loan.tokens, 0)};
}

void LoanBook::advanceTerm(Instant now)
{
    if (m_termSince == Instant{}) {
        m_termSince = now;
    }
    if (now - m_termSince < m_options.accountTerm) {
        return;
    }
    ++m_term;
    m_termSince = now;
    // A gift is received in the term of its account or in the next one, so these are refused by their accounts from now on.
    std::erase_if(m_gifts, [this](const auto &gift) {
        return gift.second + 1 < m_term;
    });
}

std::uint64_t LoanBook::account(Instant now)
{
    advanceTerm(now);
    return m_options.incarnation + m_term;
}

LoanBook::GiftVerdict LoanBook::receiveGift(const TransferId &id, std::uint64_t account, Instant now)
{
    const std::uint64_t current = this->account(now);
    const bool previous = m_term > 1 && account == current - 1;
    if (account != current && !previous) {
        return GiftVerdict::Refuse;
    }
    if (m_gifts.contains(id)) {
        return GiftVerdict::Known;
    }
    if (m_gifts.size() >= m_options.maxGifts) {
        return GiftVerdict::Refuse;
    }
    m_gifts.emplace(id, m_term);
    return GiftVerdict::Add;
}

std::size_t LoanBook::takeForgottenCount()
{
    return std::exchange(m_forgottenCount, 0);
}

}
