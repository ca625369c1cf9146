#pragma once

#include "budget/teamledger.h"
#include "clock/steadytime.h"
#include "gateway/gateway.h"
#include "membership/peerlink.h"
#include "membership/relayedstore.h"
#include "net/pause.h"
#include "net/signal.h"
#include "operations/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// What routers do for each other: carry store calls, lend tokens, pass configurations on. Answers peers' calls and makes this router's
/// own.
template<RowStore Store>
class PeerHelp
{
public:
    struct Options {
        /// Peers answer within a few milliseconds.
        Duration peerTimeout = std::chrono::milliseconds(120);
        /// A loan that comes later than that is taken as long as this.
        Duration longestLoan = std::chrono::seconds(3);
        /// How long the store has to bring a configuration that a peer has already.
        Duration planPatience = std::chrono::milliseconds(250);
        /// Peers asked for one loan. Each of a large fleet holds about as much as the next.
        std::size_t lendersAsked = 4;
        /// A peer that did not answer is not asked for a loan for this long: each such wait is a caller's.
        Duration silencePause = std::chrono::seconds(1);
    };

    /// `takeDocument` is given a configuration that came from a peer.
    PeerHelp(PeerLink &link,
             RelayedStore<Store> &store,
             TeamLedger &ledger,
             Gateway &gateway,
             std::function<void(const std::string &)> takeDocument)
        : m_link(link)
        , m_store(store)
        , m_ledger(ledger)
        , m_gateway(gateway)
        , m_takeDocument(std::move(takeDocument))
    {
        m_link.serve(
            [this](wire::PeerCall call) {
                return serve(std::move(call));
            },
            [this](const std::string &peer, std::uint64_t version) {
                hearOfPlan(peer, version);
            });
        m_ledger.onShortage(
            [this](std::string team, Tokens asked, std::vector<std::string> lenders) {
                return borrow(std::move(team), asked, std::move(lenders));
            },
            [this](const std::string &peer, const std::string &team, Tokens tokens) {
                asio::co_spawn(m_link.executor(), give(peer, team, tokens), asio::detached);
            });
    }

    /// A newer configuration is in force here: tells every peer, and gives the document to those who ask.
    void announce(std::string document)
    {
        m_document = std::move(document);
        m_link.announcePlan(m_gateway.plan()->version());
    }

    /// A router that starts while the store is away takes its first configuration from a peer.
    asio::awaitable<void> seekFirstPlan()
    {
        while (m_gateway.plan() == nullptr) {
            co_await pause(m_options.planPatience);
            for (const std::string &peer : m_link.peers()) {
                if (m_gateway.plan() == nullptr) {
                    co_await fetchPlan(peer);
                }
            }
        }
    }

private:
    /// A loan that one peer was asked for.
    struct PendingLoan {
        PendingLoan(const asio::any_io_executor &executor, std::string ofTeam, Tokens tokens)
            : team(std::move(ofTeam))
            , asked(tokens)
            , answered(executor)
        {
        }

        std::string team;
        Tokens asked = 0;
        Signal answered;
        std::optional<TeamLedger::Loan> answer;
        /// False once whoever needed it has gone on without.
        bool waitedFor = true;
    };

    asio::awaitable<wire::PeerAnswer> serve(wire::PeerCall call)
    {
        wire::PeerAnswer answer;
        if (call.has_loan()) {
            const TeamLedger::Loan loan = co_await m_ledger.lend(call.loan().team(), call.loan().tokens());
            answer.mutable_lent()->set_tokens(loan.tokens);
            answer.mutable_lent()->set_exhausted(loan.exhausted);
            answer.set_done(true);
            co_return answer;
        }
        if (call.has_gift()) {
            m_ledger.takeGift(call.gift().team(), call.gift().tokens());
            answer.set_done(true);
            co_return answer;
        }
        if (call.has_plan()) {
            const std::uint64_t version = m_gateway.plan() ? m_gateway.plan()->version() : 0;
            answer.set_done(version > call.plan().newer_than());
            if (answer.done()) {
                answer.mutable_plan()->set_version(version);
                answer.mutable_plan()->set_document(m_document);
                logLine(Severity::Info,
                        "plan.sent_to_peer",
                        {{"version", static_cast<std::int64_t>(version)}, {"bytes", static_cast<std::int64_t>(m_document.size())}});
            }
            co_return answer;
        }
        answer = co_await m_store.carry(std::move(call));
        co_return answer;
    }

    /// Asks peers for tokens, one after the other, until there are enough. One that did not answer lately is left out.
    asio::awaitable<TeamLedger::Loan> borrow(std::string team, Tokens asked, std::vector<std::string> lenders)
    {
        TeamLedger::Loan total;
        std::erase_if(lenders, [this](const std::string &peer) {
            const auto silent = m_silentUntil.find(peer);
            return silent != m_silentUntil.end() && steadyNow() < silent->second;
        });
        lenders.resize(std::min(lenders.size(), m_options.lendersAsked));
        for (const std::string &peer : lenders) {
            if (total.tokens >= asked) {
                break;
            }
            const auto loan = std::make_shared<PendingLoan>(m_link.executor(), team, asked - total.tokens);
            asio::co_spawn(m_link.executor(), askLoan(peer, loan), asio::detached);
            co_await loan->answered.wait(m_options.peerTimeout);
            loan->waitedFor = false;
            if (!loan->answer) {
                logLine(Severity::Warning, "budget.loan_late", {{"team", team}, {"peer", peer}, {"asked", loan->asked}});
                m_silentUntil[peer] = steadyNow() + m_options.silencePause;
                continue;
            }
            total.tokens += loan->answer->tokens;
            total.exhausted = loan->answer->exhausted;
        }
        co_return total;
    }

    /// Asks one peer. An answer that comes when nobody waits for it any more is still the team's: the lender has counted it as spent, so it
    /// would be lost to the team. On a day with a slow store up to 3.6% of what a team had paid was asked for in loans that went
    /// unanswered; how much of it lenders had set aside was not counted.
    asio::awaitable<void> askLoan(std::string peer, std::shared_ptr<PendingLoan> loan)
    {
        wire::PeerCall call;
        call.mutable_loan()->set_team(loan->team);
        call.mutable_loan()->set_tokens(loan->asked);
        const absl::StatusOr<wire::PeerAnswer> answer = co_await m_link.ask(peer, std::move(call), m_options.longestLoan);
        if (!answer.ok()) {
            // What the peer may have set aside for this is lost to the team.
            logLine(Severity::Warning, "budget.loan_unanswered", {{"team", loan->team}, {"peer", peer}, {"asked", loan->asked}});
            co_return;
        }
        if (!loan->waitedFor) {
            m_ledger.takeGift(loan->team, answer->lent().tokens());
            co_return;
        }
        loan->answer = TeamLedger::Loan{.tokens = answer->lent().tokens(), .exhausted = answer->lent().exhausted()};
        loan->answered.notify();
    }

    /// What does not arrive is lost to the team; sent twice it could be spent twice.
    asio::awaitable<void> give(std::string peer, std::string team, Tokens tokens)
    {
        wire::PeerCall call;
        call.mutable_gift()->set_team(team);
        call.mutable_gift()->set_tokens(tokens);
        const absl::StatusOr<wire::PeerAnswer> answer = co_await m_link.ask(peer, std::move(call), m_options.peerTimeout);
        if (!answer.ok()) {
            logLine(Severity::Warning, "budget.gift_unanswered", {{"team", team}, {"peer", peer}, {"tokens", tokens}});
        }
    }

    /// A peer has a newer configuration. Most often the store tells of it within moments; where it does not, the peer does.
    void hearOfPlan(const std::string &peer, std::uint64_t version)
    {
        m_newestHeard = std::max(m_newestHeard, version);
        if (!planIsNewest()) {
            asio::co_spawn(m_link.executor(), fetchPlan(peer), asio::detached);
        }
    }

    bool planIsNewest() const
    {
        return m_gateway.plan() != nullptr && m_gateway.plan()->version() >= m_newestHeard;
    }

    asio::awaitable<void> fetchPlan(std::string peer)
    {
        co_await pause(m_options.planPatience);
        if (planIsNewest()) {
            co_return;
        }
        wire::PeerCall call;
        call.mutable_plan()->set_newer_than(m_gateway.plan() ? m_gateway.plan()->version() : 0);
        const absl::StatusOr<wire::PeerAnswer> answer = co_await m_link.ask(peer, std::move(call), m_options.peerTimeout);
        if (answer.ok() && answer->done()) {
            m_takeDocument(answer->plan().document());
        } else {
            const std::string detail = answer.ok() ? "the peer has no newer one" : toFailure(answer.status()).detail;
            logLine(Severity::Warning,
                    "plan.fetch_failed",
                    {{"peer", peer}, {"newest_heard", static_cast<std::int64_t>(m_newestHeard)}, {"detail", detail}});
        }
    }

    PeerLink &m_link;
    RelayedStore<Store> &m_store;
    TeamLedger &m_ledger;
    Gateway &m_gateway;
    std::function<void(const std::string &)> m_takeDocument;
    Options m_options;
    /// Peers that did not answer a loan, and until when they are left alone.
    std::map<std::string, Instant> m_silentUntil;
    std::string m_document;
    std::uint64_t m_newestHeard = 0;
};

}
