#pragma once

#include "clock/steadytime.h"
#include "membership/peerlink.h"
#include "store/rowstore.h"

#include <random>
#include <string>
#include <utility>
#include <vector>

namespace bamboohold {

/// Conversions between rows and their form on the link.
wire::StoreTransaction toWire(const RowTransaction &transaction);
RowTransaction fromWire(const wire::StoreTransaction &message);
wire::StoreAnswer toWire(const RowVerdict &verdict);
wire::StoreAnswer toWire(const RowsRead &read);
RowVerdict verdictFromWire(const wire::StoreAnswer &message);
RowsRead readFromWire(const wire::StoreAnswer &message);

/// A store that is reached directly, or through a peer while the direct way is cut. A transaction may be sent both ways: it is conditional,
/// and its sender recognises a copy that took effect before.
template<RowStore Store>
class RelayedStore
{
public:
    struct Options {
        /// A peer's call to the store takes as long as an own one.
        Duration relayTimeout = std::chrono::milliseconds(700);
        /// While no peer reaches the store either, they are asked this often.
        Duration relayPause = std::chrono::milliseconds(400);
        /// Peers tried for one call: they are told apart only by asking.
        std::size_t relaysTried = 3;
    };

    RelayedStore(Store &direct, PeerLink &link, Options options)
        : m_direct(direct)
        , m_link(link)
        , m_options(options)
        , m_random(std::random_device{}())
    {
    }

    RelayedStore(Store &direct, PeerLink &link)
        : RelayedStore(direct, link, Options{})
    {
    }

    boost::asio::awaitable<absl::StatusOr<RowVerdict>> transact(const RowTransaction &transaction)
    {
        Ran ran = Ran::No;
        if (m_directReachable) {
            absl::StatusOr<RowVerdict> verdict = co_await m_direct.transact(transaction);
            noteDirect(verdict.status());
            if (verdict.ok()) {
                co_return verdict;
            }
            ran = toFailure(verdict.status()).ran;
        }
        wire::PeerCall call;
        *call.mutable_transaction() = toWire(transaction);
        const std::pair<Ran, std::optional<wire::StoreAnswer>> relayed = co_await relay(std::move(call));
        if (relayed.second) {
            co_return verdictFromWire(*relayed.second);
        }
        const bool surelyNot = ran == Ran::No && relayed.first == Ran::No;
        co_return failed(FailureKind::TableUnreachable, "neither directly nor through a peer", surelyNot ? Ran::No : Ran::Unknown);
    }

    boost::asio::awaitable<absl::StatusOr<RowsRead>> read(const std::string &table, const std::string &part)
    {
        const bool triedDirect = m_directReachable;
        if (triedDirect) {
            absl::StatusOr<RowsRead> rows = co_await m_direct.read(table, part);
            noteDirect(rows.status());
            if (rows.ok()) {
                co_return rows;
            }
        }
        wire::PeerCall call;
        call.mutable_read()->set_table(table);
        call.mutable_read()->set_part(part);
        const std::pair<Ran, std::optional<wire::StoreAnswer>> relayed = co_await relay(std::move(call));
        if (relayed.second) {
            co_return readFromWire(*relayed.second);
        }
        if (triedDirect) {
            co_return failed(FailureKind::TableUnreachable, "neither directly nor through a peer");
        }
        // Somebody has to find out when the direct way is open again.
        absl::StatusOr<RowsRead> rows = co_await m_direct.read(table, part);
        noteDirect(rows.status());
        co_return rows;
    }

    /// Changes are followed directly only; whoever follows finds out when the direct way is open again.
    boost::asio::awaitable<absl::StatusOr<RowsFeed>> follow(const std::string &table, std::uint64_t version, Duration wait)
    {
        absl::StatusOr<RowsFeed> feed = co_await m_direct.follow(table, version, wait);
        noteDirect(feed.status());
        co_return feed;
    }

    /// Carries a peer's call, directly or not at all.
    boost::asio::awaitable<wire::PeerAnswer> carry(wire::PeerCall call)
    {
        wire::PeerAnswer answer;
        if (!m_directReachable) {
            co_return answer;
        }
        absl::Status status;
        if (call.has_transaction()) {
            const RowTransaction transaction = fromWire(call.transaction());
            const absl::StatusOr<RowVerdict> verdict = co_await m_direct.transact(transaction);
            status = verdict.status();
            if (verdict.ok()) {
                *answer.mutable_store() = toWire(*verdict);
            }
        } else {
            const absl::StatusOr<RowsRead> rows = co_await m_direct.read(call.read().table(), call.read().part());
            status = rows.status();
            if (rows.ok()) {
                *answer.mutable_store() = toWire(*rows);
            }
        }
        noteDirect(status);
        answer.set_done(status.ok());
        answer.set_done_unknown(!status.ok() && toFailure(status).ran != Ran::No);
        co_return answer;
    }

    /// True while the store answers this process itself.
    bool directReachable() const
    {
        return m_directReachable;
    }

private:
    void noteDirect(const absl::Status &status)
    {
        m_directReachable = status.ok();
    }

    /// The store's answer through some peer, or whether the call may have taken effect.
    boost::asio::awaitable<std::pair<Ran, std::optional<wire::StoreAnswer>>> relay(wire::PeerCall call)
    {
        std::pair<Ran, std::optional<wire::StoreAnswer>> result{Ran::No, std::nullopt};
        if (steadyNow() < m_noRelayUntil) {
            co_return result;
        }
        std::vector<std::string> peers = m_link.peers();
        std::shuffle(peers.begin(), peers.end(), m_random);
        // The last one that helped is asked first.
        std::stable_partition(peers.begin(), peers.end(), [this](const std::string &peer) {
            return peer == m_lastHelper;
        });
        peers.resize(std::min(peers.size(), m_options.relaysTried));
        for (const std::string &peer : peers) {
            const absl::StatusOr<wire::PeerAnswer> answer = co_await m_link.ask(peer, call, m_options.relayTimeout);
            if (answer.ok() && answer->done()) {
                m_lastHelper = peer;
                result.second = answer->store();
                co_return result;
            }
            if (!answer.ok() || answer->done_unknown()) {
                result.first = Ran::Unknown;
            }
        }
        m_noRelayUntil = steadyNow() + m_options.relayPause;
        co_return result;
    }

    Store &m_direct;
    PeerLink &m_link;
    Options m_options;
    std::mt19937 m_random;
    std::string m_lastHelper;
    Instant m_noRelayUntil{};
    bool m_directReachable = true;
};

}
