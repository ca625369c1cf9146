#include "budget/transferbook.h"

#include <algorithm>
#include <utility>

namespace bamboohold {

TransferBook::TransferBook(Options options)
    : m_options(options)
{
}

TransferId TransferBook::beginLoan()
{
    m_open.insert(++m_lastNumber);
    return {.sender = m_options.incarnation, .number = m_lastNumber};
}

bool TransferBook::acceptAnswer(std::uint64_t number)
{
    return m_open.erase(number) > 0;
}

void TransferBook::declareVoid(std::uint64_t number, const std::string &peer, const std::string &team, Tokens asked, Instant now)
{
    if (m_open.erase(number) == 0) {
        return;
    }
    if (full()) {
        m_givenUp.push_back({.peer = peer, .team = team, .tokens = asked});
        return;
    }
    ++m_entries;
    m_peers[peer].voidLoans.push_back({.number = number, .team = team, .asked = asked, .since = now});
}

void TransferBook::addGift(const std::string &peer, const std::string &team, Tokens tokens, Instant now)
{
    if (full()) {
        m_givenUp.push_back({.peer = peer, .team = team, .tokens = tokens, .gift = true});
        return;
    }
    ++m_entries;
    m_peers[peer].gifts.push_back({.gift = {.number = ++m_lastNumber, .team = team, .tokens = tokens}, .since = now});
}

void TransferBook::recordAccount(const std::string &peer, std::uint64_t account, Instant now)
{
    Peer &known = m_peers[peer];
    known.account = account;
    known.accountSince = now;
}

void TransferBook::expire(Instant now)
{
    for (auto &known : m_peers) {
        expire(known.first, known.second, now);
    }
    std::erase_if(m_peers, [&](const auto &known) {
        const Peer &peer = known.second;
        return peer.settled() && !peer.calling && now - peer.accountSince >= m_options.accountValidity;
    });
}

void TransferBook::expire(const std::string &address, Peer &peer, Instant now)
{
    if (peer.calling) {
        return;
    }
    m_entries -= std::erase_if(peer.voidLoans, [&](const VoidLoan &loan) {
        const bool expired = now - loan.since >= m_options.giveUpAfter;
        if (expired) {
            m_givenUp.push_back({.peer = address, .team = loan.team, .tokens = loan.asked});
        }
        return expired;
    });
    m_entries -= std::erase_if(peer.gifts, [&](const PendingGift &pending) {
        const bool expired = now - pending.since >= m_options.giveUpAfter;
        if (expired) {
            m_givenUp.push_back({.peer = address, .team = pending.gift.team, .tokens = pending.gift.tokens, .gift = true});
        }
        return expired;
    });
}

std::vector<TransferBook::Call> TransferBook::due(Instant now)
{
    expire(now);
    std::vector<Call> calls;
    auto repeated = m_peers.end();
    for (auto found = m_peers.begin(); found != m_peers.end(); ++found) {
        Peer &peer = found->second;
        if (peer.calling || peer.settled() || peer.due > now) {
            continue;
        }
        if (peer.failures == 0) {
            calls.push_back(makeCall(found->first, peer, now));
        } else if (repeated == m_peers.end() || peer.due < repeated->second.due) {
            repeated = found;
        }
    }
    if (repeated != m_peers.end() && now >= m_nextRepeat) {
        m_nextRepeat = now + m_options.repeatInterval;
        calls.push_back(makeCall(repeated->first, repeated->second, now));
    }
    return calls;
}

std::optional<Instant> TransferBook::nextDue() const
{
    std::optional<Instant> next;
    for (const auto &[address, peer] : m_peers) {
        if (peer.calling || peer.settled()) {
            continue;
        }
        const Instant due = peer.failures == 0 ? peer.due : std::max(peer.due, m_nextRepeat);
        next = std::min(next.value_or(due), due);
    }
    return next;
}

TransferBook::Call TransferBook::makeCall(const std::string &address, Peer &peer, Instant now) const
{
    Call call{.peer = address};
    for (const VoidLoan &loan : peer.voidLoans) {
        if (call.voidLoans.size() < m_options.maxPerCall) {
            call.voidLoans.push_back(loan.number);
        }
    }
    const std::uint64_t current = now - peer.accountSince < m_options.accountValidity ? peer.account : 0;
    const auto sentBefore = std::ranges::find_if(peer.gifts, [](const PendingGift &pending) {
        return pending.account != 0;
    });
    call.account = sentBefore != peer.gifts.end() ? sentBefore->account : current;
    for (PendingGift &pending : peer.gifts) {
        const bool first = pending.account == 0 && call.account == current;
        if (call.account == 0 || call.gifts.size() >= m_options.maxPerCall || (!first && pending.account != call.account)) {
            continue;
        }
        // From the first attempt on, no other account may be given these tokens.
        pending.account = call.account;
        call.gifts.push_back(pending.gift);
    }
    peer.calling = true;
    return call;
}

void TransferBook::eraseFinished(const std::string &address, Peer &peer, const Call &call, const std::set<std::uint64_t> &added)
{
    m_entries -= std::erase_if(peer.voidLoans, [&](const VoidLoan &loan) {
        return std::ranges::find(call.voidLoans, loan.number) != call.voidLoans.end();
    });
    for (const Gift &gift : call.gifts) {
        m_entries -= std::erase_if(peer.gifts, [&](const PendingGift &pending) {
            return pending.gift.number == gift.number;
        });
        if (!added.contains(gift.number)) {
            m_givenUp.push_back({.peer = address, .team = gift.team, .tokens = gift.tokens, .gift = true});
        }
    }
}

void TransferBook::answered(const Call &call, std::uint64_t account, const std::set<std::uint64_t> &added, Instant now)
{
    Peer &peer = m_peers[call.peer];
    peer.calling = false;
    peer.failures = 0;
    peer.due = now;
    recordAccount(call.peer, account, now);
    eraseFinished(call.peer, peer, call, added);
}

void TransferBook::unanswered(const Call &call, Instant now)
{
    Peer &peer = m_peers[call.peer];
    peer.calling = false;
    Duration wait = m_options.firstRepeat;
    for (int failure = 0; failure < peer.failures && wait < m_options.maxRepeat; ++failure) {
        wait *= 2;
    }
    peer.due = now + std::min(wait, m_options.maxRepeat);
    ++peer.failures;
}

std::vector<TransferBook::Gift> TransferBook::notUnderstood(const Call &call, Instant now)
{
    Peer &peer = m_peers[call.peer];
    peer.calling = false;
    peer.failures = 0;
    peer.due = now;
    peer.account = 0;
    for (const VoidLoan &loan : peer.voidLoans) {
        m_givenUp.push_back({.peer = call.peer, .team = loan.team, .tokens = loan.asked});
    }
    std::vector<Gift> unsent;
    for (PendingGift &pending : peer.gifts) {
        if (pending.account == 0) {
            unsent.push_back(std::move(pending.gift));
        } else {
            m_givenUp.push_back({.peer = call.peer, .team = pending.gift.team, .tokens = pending.gift.tokens, .gift = true});
        }
    }
    m_entries -= peer.voidLoans.size() + peer.gifts.size();
    peer.voidLoans.clear();
    peer.gifts.clear();
    return unsent;
}

std::vector<TransferBook::GivenUp> TransferBook::takeGivenUp()
{
    return std::exchange(m_givenUp, {});
}

}
