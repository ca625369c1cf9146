#pragma once

#include "budget/teamledger.h"
#include "clock/steadytime.h"
#include "gateway/evacuationfollower.h"
#include "gateway/gateway.h"
#include "gateway/loansettlement.h"
#include "membership/evacuationnotice.h"
#include "membership/peerlink.h"
#include "membership/planfetchscheduler.h"
#include "membership/plansource.h"
#include "membership/relayedstore.h"
#include "net/adaptivetimeout.h"
#include "net/pause.h"
#include "net/signal.h"
#include "operations/log.h"
#include "quarantine/quarantinenotice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// Exchanges calls with other routers: answers theirs and makes this router's own. Routers carry each other's store calls, lend each other
/// tokens, and pass on configurations, evacuation orders and reports of crashes.
template<RowStore Store>
class PeerExchange
{
public:
    struct Options {
        /// Timeout of a call to a peer; peers answer within a few milliseconds.
        Duration peerTimeout = std::chrono::milliseconds(120);
        /// How long the answer to a loan request is accepted, and how long a borrower waits for it, by the time that answers have taken: on
        /// a host whose link is full all lenders seem slow.
        Duration maxLoanWait = std::chrono::seconds(3);
        AdaptiveTimeout::Options loanTimeout{.minTimeout = std::chrono::milliseconds(120), .maxTimeout = std::chrono::seconds(1)};
        /// Timeout for a piece of a configuration, which may be queued behind answers to callers on a slow link.
        AdaptiveTimeout::Options pieceTimeout{.minTimeout = std::chrono::milliseconds(800), .maxTimeout = std::chrono::seconds(3)};
        /// Interval at which a router without a configuration asks its peers for one.
        Duration initialPlanInterval = std::chrono::milliseconds(250);
        /// Peers asked for one loan. In a large fleet all of them hold about the same amount.
        std::size_t maxLenders = 4;
        /// Answers that a router collects at its start about known crashes, the most peers it asks for them, since many may have started at
        /// the same time, and the time after which it asks no further peer.
        std::size_t crashAnswersWanted = 3;
        std::size_t maxCrashQueries = 9;
        Duration maxCrashQueryTime = std::chrono::seconds(5);
        /// How long a peer that did not answer is not asked for a loan, since a caller waits through each timeout.
        Duration unresponsiveBackoff = std::chrono::seconds(1);
    };

    /// `acceptDocument` is called with each configuration document that was received from a peer. All references must outlive this object.
    PeerExchange(PeerLink &link,
                 RelayedStore<Store> &store,
                 TeamLedger &ledger,
                 Gateway &gateway,
                 EvacuationFollower &evacuations,
                 std::function<void(const std::string &)> acceptDocument)
        : m_link(link)
        , m_store(store)
        , m_ledger(ledger)
        , m_gateway(gateway)
        , m_evacuations(evacuations)
        , m_acceptDocument(std::move(acceptDocument))
        , m_fetchScheduler({.self = link.self()})
        , m_pieceTimeout(m_options.pieceTimeout)
        , m_loanTimeout(m_options.loanTimeout)
        , m_settlement(link, ledger, gateway.metrics())
    {
        m_link.setCallHandler(
            [this](wire::PeerCall call) {
                return serve(std::move(call));
            },
            [this](const std::string &peer, std::uint64_t version) {
                notePeerPlan(peer, version);
            });
        connectCrashReports();
        m_link.setEvacuationHandler([this](const wire::EvacuationNotice &notice) {
            m_evacuations.applyPeerState(fromWire(notice), steadyNow());
        });
        m_ledger.setPeerFunctions(
            [this](std::string team, Tokens asked, std::vector<std::string> lenders) {
                return borrowTokens(std::move(team), asked, std::move(lenders));
            },
            [this](const std::string &peer, const std::string &team, Tokens tokens) {
                m_settlement.give(peer, team, tokens);
            });
    }

    /// Announces the configuration in force to all peers and keeps its document for those that request it.
    void publishPlan(std::string document)
    {
        m_source.set(m_gateway.plan()->version(), std::move(document));
        m_link.announcePlan(m_gateway.plan()->version());
    }

    /// Requests a first configuration from peers until one is in force, for a router that starts while the store is unreachable.
    asio::awaitable<void> fetchInitialPlan()
    {
        // The peers' versions are not known yet, and any version is newer than none.
        constexpr std::uint64_t lowestVersion = 1;
        while (m_gateway.plan() == nullptr) {
            for (const std::string &peer : m_link.peers()) {
                notePeerPlan(peer, lowestVersion);
            }
            co_await pause(m_options.initialPlanInterval);
        }
    }

    /// Requests known crashes from some peers. Call at the start: what the previous process knew is lost.
    asio::awaitable<void> fetchKnownCrashes()
    {
        const Instant startedAt = steadyNow();
        std::set<std::string> asked;
        std::set<std::string> answered;
        std::size_t queries = 0;
        while (answered.size() < m_options.crashAnswersWanted && queries < m_options.maxCrashQueries
               && steadyNow() < startedAt + m_options.maxCrashQueryTime) {
            const std::optional<std::string> peer = nextUnaskedPeer(asked);
            if (!peer) {
                co_await pause(m_options.initialPlanInterval);
                asked = answered;
                continue;
            }
            asked.insert(*peer);
            ++queries;
            const bool told = co_await requestCrashes(*peer);
            if (told) {
                answered.insert(*peer);
            }
        }
    }

private:
    /// The next peer by address after this router that is not in `asked`, so that routers that start together ask different peers; none
    /// when all were asked.
    std::optional<std::string> nextUnaskedPeer(const std::set<std::string> &asked) const
    {
        std::vector<std::string> peers = m_link.peers();
        std::rotate(peers.begin(), std::upper_bound(peers.begin(), peers.end(), m_link.self()), peers.end());
        const auto next = std::ranges::find_if(peers, [&](const std::string &peer) {
            return !asked.contains(peer);
        });
        return next != peers.end() ? std::optional(*next) : std::nullopt;
    }

    /// A loan that was requested from one peer.
    struct PendingLoan {
        PendingLoan(const asio::any_io_executor &executor, std::string teamName, Tokens tokens)
            : team(std::move(teamName))
            , asked(tokens)
            , answered(executor)
        {
        }

        std::string team;
        Tokens asked = 0;
        Signal answered;
        std::optional<TeamLedger::Loan> answer;
        /// False once the borrowing request has stopped waiting.
        bool awaited = true;
    };

    /// Connects the guard's reports of crashes and quarantines to those of peers. Each router sees only a part of the crashes, since every
    /// copy of a request may reach another router.
    void connectCrashReports()
    {
        PoisonGuard &guard = m_gateway.guard();
        guard.setAnnouncers(
            [this](const CrashReport &report) {
                m_link.announceCrash(toWire(report));
            },
            [this](const QuarantineChange &change) {
                m_link.announceQuarantine(toWire(change));
            });
        m_link.setCrashHandlers(
            [&guard](const wire::CrashNotice &notice) {
                guard.handleCrashReport(fromWire(notice));
            },
            [&guard](const std::string &peer, const wire::QuarantineNotice &notice) {
                if (const std::optional<QuarantineChange> change = fromWire(notice)) {
                    guard.applyChange(*change, peer);
                }
            });
    }

    asio::awaitable<wire::PeerAnswer> serve(wire::PeerCall call)
    {
        wire::PeerAnswer answer;
        if (call.has_settlement()) {
            co_return m_settlement.settle(call.settlement());
        }
        if (call.has_loan()) {
            answer = co_await m_settlement.lend(call.loan());
            co_return answer;
        }
        if (call.has_gift()) {
            m_ledger.acceptReturnedTokens(call.gift().team(), call.gift().tokens());
            answer.set_done(true);
            co_return answer;
        }
        if (call.has_plan()) {
            answerPlanRequest(call.plan(), answer);
            co_return answer;
        }
        if (call.has_crashes()) {
            for (const CrashReport &report : m_gateway.guard().knownCrashes()) {
                *answer.mutable_crashes()->add_crashes() = toWire(report);
            }
            for (const QuarantineChange &change : m_gateway.guard().knownEntries()) {
                *answer.mutable_crashes()->add_held() = toWire(change);
            }
            answer.set_done(true);
            co_return answer;
        }
        answer = co_await m_store.executeForPeer(std::move(call));
        co_return answer;
    }

    /// Requests the crashes that a peer knows, and notes them. Returns whether the peer answered.
    asio::awaitable<bool> requestCrashes(std::string peer)
    {
        wire::PeerCall call;
        call.mutable_crashes();
        const absl::StatusOr<wire::PeerAnswer> answer = co_await m_link.sendCall(peer, std::move(call), m_options.peerTimeout);
        if (!answer.ok()) {
            logLine(Severity::Info, "quarantine.peer_silent", {{"peer", peer}, {"detail", toFailure(answer.status()).detail}});
            co_return false;
        }
        for (const wire::CrashNotice &notice : answer->crashes().crashes()) {
            m_gateway.guard().handleCrashReport(fromWire(notice));
        }
        for (const wire::QuarantineNotice &notice : answer->crashes().held()) {
            if (std::optional<QuarantineChange> change = fromWire(notice)) {
                change->trialMayBeUnderWay = false;
                m_gateway.guard().applyChange(*change, peer);
            }
        }
        co_return true;
    }

    /// Requests tokens from the lenders in turn until there are enough. Skips lenders that recently did not answer.
    asio::awaitable<TeamLedger::Loan> borrowTokens(std::string team, Tokens asked, std::vector<std::string> lenders)
    {
        TeamLedger::Loan total;
        std::erase_if(lenders, [this](const std::string &peer) {
            const auto backoff = m_backoffUntil.find(peer);
            return backoff != m_backoffUntil.end() && steadyNow() < backoff->second;
        });
        lenders.resize(std::min(lenders.size(), m_options.maxLenders));
        for (const std::string &peer : lenders) {
            if (total.tokens >= asked) {
                break;
            }
            const auto loan = std::make_shared<PendingLoan>(m_link.executor(), team, asked - total.tokens);
            asio::co_spawn(m_link.executor(), requestLoan(peer, loan), asio::detached);
            co_await loan->answered.wait(m_loanTimeout.current());
            loan->awaited = false;
            if (!loan->answer) {
                logLine(Severity::Warning, "budget.loan_late", {{"team", team}, {"peer", peer}, {"asked", loan->asked}});
                m_backoffUntil[peer] = steadyNow() + m_options.unresponsiveBackoff;
                continue;
            }
            total.tokens += loan->answer->tokens;
            total.exhausted = loan->answer->exhausted;
        }
        co_return total;
    }

    /// Requests a loan from one peer. A late answer is added to this router's holding of the team, since the lender has counted it as
    /// spent. Without any answer the request is void, and the lender takes back what it lent.
    asio::awaitable<void> requestLoan(std::string peer, std::shared_ptr<PendingLoan> loan)
    {
        wire::PeerCall call;
        call.mutable_loan()->set_team(loan->team);
        call.mutable_loan()->set_tokens(loan->asked);
        const std::uint64_t number = m_settlement.begin(*call.mutable_loan());
        const Instant startedAt = steadyNow();
        const absl::StatusOr<wire::PeerAnswer> answer = co_await m_link.sendCall(peer, std::move(call), m_options.maxLoanWait);
        if (answer.ok()) {
            m_loanTimeout.recordAnswer(steadyNow() - startedAt);
            m_backoffUntil.erase(peer);
        }
        if (!answer.ok() || !m_settlement.accept(number, peer, *answer)) {
            m_settlement.declareVoid(number, peer, loan->team, loan->asked);
            co_return;
        }
        if (!loan->awaited) {
            m_ledger.acceptReturnedTokens(loan->team, answer->lent().tokens());
            co_return;
        }
        loan->answer = TeamLedger::Loan{.tokens = answer->lent().tokens(), .exhausted = answer->lent().exhausted()};
        loan->answered.notify();
    }

    void answerPlanRequest(const wire::PlanRequest &request, wire::PeerAnswer &answer)
    {
        const PlanFetchScheduler::PieceRequest ask{.peer = request.asker(),
                                                   .newerThan = request.newer_than(),
                                                   .version = request.version(),
                                                   .offset = request.offset(),
                                                   .maxBytes = request.most_bytes()};
        std::optional<PlanPiece> piece = m_source.piece(ask, steadyNow());
        answer.set_done(piece.has_value());
        if (!piece) {
            return;
        }
        if (piece->offset == 0) {
            logLine(Severity::Info,
                    "plan.sent_to_peer",
                    {{"peer", ask.peer},
                     {"version", static_cast<std::int64_t>(piece->version)},
                     {"bytes", static_cast<std::int64_t>(piece->totalBytes)}});
        }
        wire::PlanDocument &document = *answer.mutable_plan();
        document.set_version(piece->version);
        document.set_offset(piece->offset);
        document.set_total_bytes(piece->totalBytes);
        document.set_document(std::move(piece->bytes));
        if (piece->offset == 0 && m_evacuations.inForce()) {
            *document.mutable_evacuations() = toWire(*m_evacuations.inForce());
        }
    }

    /// Notes that a peer has a newer configuration. The store usually delivers it within moments; otherwise it is requested from the peer.
    void notePeerPlan(const std::string &peer, std::uint64_t version)
    {
        m_fetchScheduler.recordPeerVersion(peer, version, steadyNow());
        if (!m_fetchRunning) {
            m_fetchRunning = true;
            asio::co_spawn(m_link.executor(), fetchNewerPlans(), asio::detached);
        }
    }

    /// Requests the pieces that the scheduler selects, until no newer configuration is known.
    asio::awaitable<void> fetchNewerPlans()
    {
        while (true) {
            updateFetchScheduler();
            const std::optional<Instant> due = m_fetchScheduler.nextRequestDue();
            if (!due) {
                break;
            }
            const Instant now = steadyNow();
            const std::optional<PlanFetchScheduler::PieceRequest> ask = m_fetchScheduler.nextPieceRequest(now);
            if (ask) {
                co_await requestPlanPiece(*ask);
            } else {
                // Waits in short intervals, since the configuration may arrive from the store in the meantime.
                co_await pause(std::clamp(Duration(*due - now), s_minSeekInterval, s_maxSeekInterval));
            }
        }
        m_fetchRunning = false;
    }

    void updateFetchScheduler()
    {
        m_fetchScheduler.setStoreReachable(m_store.directReachable());
        if (m_gateway.plan()) {
            m_fetchScheduler.setVersionInForce(m_gateway.plan()->version(), m_source.documentBytes());
        }
    }

    asio::awaitable<void> requestPlanPiece(PlanFetchScheduler::PieceRequest ask)
    {
        wire::PeerCall call;
        wire::PlanRequest &request = *call.mutable_plan();
        request.set_newer_than(ask.newerThan);
        request.set_version(ask.version);
        request.set_offset(ask.offset);
        request.set_most_bytes(ask.maxBytes);
        request.set_asker(m_link.self());
        const Instant startedAt = steadyNow();
        const absl::StatusOr<wire::PeerAnswer> answer = co_await m_link.sendCall(ask.peer, std::move(call), m_pieceTimeout.current());
        const Instant now = steadyNow();
        if (!answer.ok()) {
            m_pieceTimeout.recordTimeout();
            logLine(Severity::Warning,
                    "plan.fetch_failed",
                    {{"peer", ask.peer}, {"offset", static_cast<std::int64_t>(ask.offset)}, {"detail", toFailure(answer.status()).detail}});
        }
        if (!answer.ok() || !answer->done()) {
            // A peer without a configuration is not logged: all routers may have started together.
            m_fetchScheduler.recordRequestFailure(ask.peer, now);
            co_return;
        }
        m_pieceTimeout.recordAnswer(now - startedAt);
        const wire::PlanDocument &document = answer->plan();
        if (document.has_evacuations()) {
            m_evacuations.applyPeerState(fromWire(document.evacuations()), now);
        }
        const std::optional<std::string> whole = m_fetchScheduler.recordPiece(ask.peer,
                                                                              {.version = document.version(),
                                                                               .bytes = document.document(),
                                                                               .offset = document.offset(),
                                                                               .totalBytes = document.total_bytes()},
                                                                              now);
        if (whole) {
            m_acceptDocument(*whole);
        }
    }

    /// Bounds of the interval between two checks whether the store has delivered the configuration. The upper one avoids requests for
    /// pieces that are no longer needed, the lower one a busy loop.
    static constexpr Duration s_minSeekInterval = std::chrono::milliseconds(5);
    static constexpr Duration s_maxSeekInterval = std::chrono::milliseconds(100);

    PeerLink &m_link;
    RelayedStore<Store> &m_store;
    TeamLedger &m_ledger;
    Gateway &m_gateway;
    EvacuationFollower &m_evacuations;
    std::function<void(const std::string &)> m_acceptDocument;
    Options m_options;
    /// Peers that did not answer a loan request, and until when they are not asked again.
    std::map<std::string, Instant> m_backoffUntil;
    PlanFetchScheduler m_fetchScheduler;
    PlanSource m_source;
    AdaptiveTimeout m_pieceTimeout;
    AdaptiveTimeout m_loanTimeout;
    LoanSettlement m_settlement;
    bool m_fetchRunning = false;
};

}
