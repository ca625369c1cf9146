#pragma once

#include "budget/teamledger.h"
#include "clock/steadytime.h"
#include "gateway/evacuationfollower.h"
#include "gateway/gateway.h"
#include "membership/evacuationnotice.h"
#include "membership/peerlink.h"
#include "membership/planseeker.h"
#include "membership/plansource.h"
#include "membership/relayedstore.h"
#include "net/patience.h"
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
        /// For a piece of a configuration, which may queue behind callers' answers on a slow link.
        Patience::Options piecePatience{.least = std::chrono::milliseconds(800), .most = std::chrono::seconds(3)};
        /// A router without a configuration asks this often whether a peer has one.
        Duration firstPlanPause = std::chrono::milliseconds(250);
        /// Peers asked for one loan. Each of a large fleet holds about as much as the next.
        std::size_t lendersAsked = 4;
        /// Peers that tell a router, when it starts, what they know of crashes; how many it asks for that at the most, as many may have
        /// started with it, and for how long it looks for them.
        std::size_t crashAnswers = 3;
        std::size_t mostCrashQueries = 9;
        Duration longestCrashQuery = std::chrono::seconds(5);
        /// A peer that did not answer is not asked for a loan for this long: each such wait is a caller's.
        Duration silencePause = std::chrono::seconds(1);
    };

    /// `takeDocument` is given a configuration that came from a peer.
    PeerHelp(PeerLink &link,
             RelayedStore<Store> &store,
             TeamLedger &ledger,
             Gateway &gateway,
             EvacuationFollower &evacuations,
             std::function<void(const std::string &)> takeDocument)
        : m_link(link)
        , m_store(store)
        , m_ledger(ledger)
        , m_gateway(gateway)
        , m_evacuations(evacuations)
        , m_takeDocument(std::move(takeDocument))
        , m_seeker({.self = link.self()})
        , m_piecePatience(m_options.piecePatience)
    {
        m_link.serve(
            [this](wire::PeerCall call) {
                return serve(std::move(call));
            },
            [this](const std::string &peer, std::uint64_t version) {
                hearOfPlan(peer, version);
            });
        shareCrashes();
        m_link.onEvacuations([this](const wire::EvacuationNotice &notice) {
            m_evacuations.heard(fromWire(notice), steadyNow());
        });
        m_ledger.setPeerFunctions(
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
        m_source.set(m_gateway.plan()->version(), std::move(document));
        m_link.announcePlan(m_gateway.plan()->version());
    }

    /// A router that starts while the store is away takes its first configuration from a peer.
    asio::awaitable<void> seekFirstPlan()
    {
        // What they have is not known yet; any version is newer than none.
        constexpr std::uint64_t anyVersion = 1;
        while (m_gateway.plan() == nullptr) {
            for (const std::string &peer : m_link.peers()) {
                hearOfPlan(peer, anyVersion);
            }
            co_await pause(m_options.firstPlanPause);
        }
    }

    /// A router that starts asks some peers what they know of crashes: what it knew itself has ended with it.
    asio::awaitable<void> learnCrashes()
    {
        const Instant begun = steadyNow();
        std::size_t answers = 0;
        std::set<std::string> asked;
        while (answers < m_options.crashAnswers && asked.size() < m_options.mostCrashQueries
               && steadyNow() < begun + m_options.longestCrashQuery) {
            const std::optional<std::string> peer = nextPeer(asked);
            if (!peer) {
                co_await pause(m_options.firstPlanPause);
                continue;
            }
            asked.insert(*peer);
            const bool answered = co_await askCrashes(*peer);
            answers += answered ? 1 : 0;
        }
    }

private:
    /// A peer that was not asked yet: the next ones by address, so that routers which start together ask different ones.
    std::optional<std::string> nextPeer(const std::set<std::string> &asked) const
    {
        std::vector<std::string> peers = m_link.peers();
        std::rotate(peers.begin(), std::upper_bound(peers.begin(), peers.end(), m_link.self()), peers.end());
        const auto next = std::ranges::find_if(peers, [&](const std::string &peer) {
            return !asked.contains(peer);
        });
        return next != peers.end() ? std::optional(*next) : std::nullopt;
    }

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

    /// What crashes targets is seen in pieces: each copy of a request may come to another router.
    void shareCrashes()
    {
        PoisonGuard &guard = m_gateway.guard();
        guard.setAnnouncers(
            [this](const CrashReport &report) {
                m_link.announceCrash(toWire(report));
            },
            [this](const QuarantineChange &change) {
                m_link.announceQuarantine(toWire(change));
            });
        m_link.onCrashes(
            [&guard](const wire::CrashNotice &notice) {
                guard.peerSawCrash(fromWire(notice));
            },
            [&guard](const std::string &peer, const wire::QuarantineNotice &notice) {
                if (const std::optional<QuarantineChange> change = fromWire(notice)) {
                    guard.take(*change, peer);
                }
            });
    }

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
            m_ledger.acceptReturnedTokens(call.gift().team(), call.gift().tokens());
            answer.set_done(true);
            co_return answer;
        }
        if (call.has_plan()) {
            givePiece(call.plan(), answer);
            co_return answer;
        }
        if (call.has_crashes()) {
            for (const CrashReport &report : m_gateway.guard().knownCrashes()) {
                *answer.mutable_crashes()->add_crashes() = toWire(report);
            }
            answer.set_done(true);
            co_return answer;
        }
        answer = co_await m_store.carry(std::move(call));
        co_return answer;
    }

    /// True when the peer answered.
    asio::awaitable<bool> askCrashes(std::string peer)
    {
        wire::PeerCall call;
        call.mutable_crashes();
        const absl::StatusOr<wire::PeerAnswer> answer = co_await m_link.ask(peer, std::move(call), m_options.peerTimeout);
        if (!answer.ok()) {
            logLine(Severity::Info, "quarantine.peer_silent", {{"peer", peer}, {"detail", toFailure(answer.status()).detail}});
            co_return false;
        }
        for (const wire::CrashNotice &notice : answer->crashes().crashes()) {
            m_gateway.guard().peerSawCrash(fromWire(notice));
        }
        co_return true;
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
    /// would be lost to the team.
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
            m_ledger.acceptReturnedTokens(loan->team, answer->lent().tokens());
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

    void givePiece(const wire::PlanRequest &request, wire::PeerAnswer &answer)
    {
        const PlanSeeker::Ask ask{.peer = request.asker(),
                                  .newerThan = request.newer_than(),
                                  .version = request.version(),
                                  .offset = request.offset(),
                                  .mostBytes = request.most_bytes()};
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

    /// A peer has a newer configuration. Most often the store brings it within moments; where it does not, the peer does.
    void hearOfPlan(const std::string &peer, std::uint64_t version)
    {
        m_seeker.heard(peer, version, steadyNow());
        if (!m_seeking) {
            m_seeking = true;
            asio::co_spawn(m_link.executor(), seekPlan(), asio::detached);
        }
    }

    /// Takes what the seeker decides to take, until there is nothing newer to be had.
    asio::awaitable<void> seekPlan()
    {
        while (true) {
            noteInForce();
            const std::optional<Instant> due = m_seeker.due();
            if (!due) {
                break;
            }
            const Instant now = steadyNow();
            const std::optional<PlanSeeker::Ask> ask = m_seeker.next(now);
            if (ask) {
                co_await askForPiece(*ask);
            } else {
                // What is sought may arrive from the store in the meantime, so a long wait is taken in steps.
                co_await pause(std::clamp(Duration(*due - now), s_shortestStep, s_longestStep));
            }
        }
        m_seeking = false;
    }

    void noteInForce()
    {
        m_seeker.setStoreReachable(m_store.directReachable());
        if (m_gateway.plan()) {
            m_seeker.inForce(m_gateway.plan()->version(), m_source.documentBytes());
        }
    }

    asio::awaitable<void> askForPiece(PlanSeeker::Ask ask)
    {
        wire::PeerCall call;
        wire::PlanRequest &request = *call.mutable_plan();
        request.set_newer_than(ask.newerThan);
        request.set_version(ask.version);
        request.set_offset(ask.offset);
        request.set_most_bytes(ask.mostBytes);
        request.set_asker(m_link.self());
        const Instant begun = steadyNow();
        const absl::StatusOr<wire::PeerAnswer> answer = co_await m_link.ask(ask.peer, std::move(call), m_piecePatience.current());
        const Instant now = steadyNow();
        if (!answer.ok()) {
            m_piecePatience.missed();
            logLine(Severity::Warning,
                    "plan.fetch_failed",
                    {{"peer", ask.peer}, {"offset", static_cast<std::int64_t>(ask.offset)}, {"detail", toFailure(answer.status()).detail}});
        }
        if (!answer.ok() || !answer->done()) {
            // A peer that has none is no failure: all routers may have started together.
            m_seeker.failed(ask.peer, now);
            co_return;
        }
        m_piecePatience.answered(now - begun);
        const wire::PlanDocument &document = answer->plan();
        if (document.has_evacuations()) {
            m_evacuations.heard(fromWire(document.evacuations()), now);
        }
        const std::optional<std::string> whole = m_seeker.answered(ask.peer,
                                                                   {.version = document.version(),
                                                                    .bytes = document.document(),
                                                                    .offset = document.offset(),
                                                                    .totalBytes = document.total_bytes()},
                                                                   now);
        if (whole) {
            m_takeDocument(*whole);
        }
    }

    /// Between two looks at whether the store has brought what is sought: often enough that no piece is asked for in vain, and never a
    /// busy loop.
    static constexpr Duration s_shortestStep = std::chrono::milliseconds(5);
    static constexpr Duration s_longestStep = std::chrono::milliseconds(100);

    PeerLink &m_link;
    RelayedStore<Store> &m_store;
    TeamLedger &m_ledger;
    Gateway &m_gateway;
    EvacuationFollower &m_evacuations;
    std::function<void(const std::string &)> m_takeDocument;
    Options m_options;
    /// Peers that did not answer a loan, and until when they are left alone.
    std::map<std::string, Instant> m_silentUntil;
    PlanSeeker m_seeker;
    PlanSource m_source;
    Patience m_piecePatience;
    bool m_seeking = false;
};

}
