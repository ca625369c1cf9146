#pragma once

#include "budget/teamledger.h"
#include "clock/steadytime.h"
#include "gateway/gateway.h"
#include "membership/peerlink.h"
#include "membership/relayedstore.h"
#include "net/pause.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <functional>
#include <random>
#include <string>
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
        /// How long the store has to bring a configuration that a peer has already.
        Duration planPatience = std::chrono::milliseconds(250);
        /// Peers asked for one loan. Each of a large fleet holds about as much as the next.
        std::size_t lendersAsked = 4;
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
        m_ledger.onShortage([this](std::string team, Tokens asked) {
            return borrow(std::move(team), asked);
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
    asio::awaitable<wire::PeerAnswer> serve(wire::PeerCall call)
    {
        wire::PeerAnswer answer;
        if (call.has_loan()) {
            answer.mutable_lent()->set_tokens(m_ledger.lend(call.loan().team(), call.loan().tokens()));
            answer.set_done(true);
            co_return answer;
        }
        if (call.has_plan()) {
            const std::uint64_t version = m_gateway.plan() ? m_gateway.plan()->version() : 0;
            answer.set_done(version > call.plan().newer_than());
            if (answer.done()) {
                answer.mutable_plan()->set_version(version);
                answer.mutable_plan()->set_document(m_document);
            }
            co_return answer;
        }
        answer = co_await m_store.carry(std::move(call));
        co_return answer;
    }

    /// Asks peers for tokens, one after the other, until there are enough.
    asio::awaitable<Tokens> borrow(std::string team, Tokens asked)
    {
        Tokens lent = 0;
        std::vector<std::string> peers = m_link.peers();
        std::shuffle(peers.begin(), peers.end(), m_random);
        peers.resize(std::min(peers.size(), m_options.lendersAsked));
        for (const std::string &peer : peers) {
            if (lent >= asked) {
                break;
            }
            wire::PeerCall call;
            call.mutable_loan()->set_team(team);
            call.mutable_loan()->set_tokens(asked - lent);
            const absl::StatusOr<wire::PeerAnswer> answer = co_await m_link.ask(peer, std::move(call), m_options.peerTimeout);
            lent += answer.ok() ? answer->lent().tokens() : 0;
        }
        co_return lent;
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
        }
    }

    PeerLink &m_link;
    RelayedStore<Store> &m_store;
    TeamLedger &m_ledger;
    Gateway &m_gateway;
    std::function<void(const std::string &)> m_takeDocument;
    Options m_options;
    std::mt19937 m_random{std::random_device{}()};
    std::string m_document;
    std::uint64_t m_newestHeard = 0;
};

}
