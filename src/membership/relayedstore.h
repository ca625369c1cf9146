#pragma once

#include "clock/steadytime.h"
#include "membership/detours.h"
#include "membership/peerlink.h"
#include "net/pause.h"
#include "operations/log.h"
#include "store/rowstore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace bamboohold {

/// Conversions between rows and their form on the link.
wire::StoreTransaction toWire(const RowTransaction &transaction);
RowTransaction fromWire(const wire::StoreTransaction &message);
wire::StoreAnswer toWire(const RowTransactionResult &verdict);
wire::StoreAnswer toWire(const RowsSnapshot &read);
RowTransactionResult verdictFromWire(const wire::StoreAnswer &message);
RowsSnapshot readFromWire(const wire::StoreAnswer &message);

/// A store that is reached directly, or while the direct way is cut through a relay beside a target, or through a peer. A transaction may
/// be sent several ways: it is conditional, and its sender recognises a copy that took effect before.
template<RowStore Store>
class RelayedStore
{
public:
    struct Options {
        /// A peer's call to the store takes as long as an own one.
        Duration relayTimeout = std::chrono::milliseconds(700);
        /// While no peer reaches the store either, they are asked this often.
        Duration relayPause = std::chrono::milliseconds(400);
        /// Peers tried for one call: they are told apart only by asking. 0: none.
        std::size_t relaysTried = 3;
        /// Relays tried for one call: the second stands in for one that has just gone.
        std::size_t detoursTried = 2;
        /// When no relay helped, the store itself is most likely away; relays are left alone for this long.
        Duration detourPause = std::chrono::milliseconds(300);
        /// While the direct way is cut, it is tried this often.
        Duration probePause = std::chrono::milliseconds(300);
    };

    /// Opens the store by way of a relay at this address; null when there is no such way.
    using OpenDetour = std::function<std::unique_ptr<Store>(const std::string &relay)>;

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

    /// From now on calls may take the relays that `detours` knows. It outlives this.
    void setDetours(Detours &detours, OpenDetour open)
    {
        m_detours = &detours;
        m_openDetour = std::move(open);
    }

    boost::asio::awaitable<absl::StatusOr<RowTransactionResult>> transact(const RowTransaction &transaction)
    {
        Executed ran = Executed::No;
        if (m_directReachable) {
            absl::StatusOr<RowTransactionResult> verdict = co_await m_direct.transact(transaction);
            noteDirect(verdict.status());
            if (verdict.ok()) {
                co_return verdict;
            }
            ran = toFailure(verdict.status()).executed;
        }
        const auto send = [&transaction](Store &store) {
            return store.transact(transaction);
        };
        const std::optional<absl::StatusOr<RowTransactionResult>> detoured = co_await detour<RowTransactionResult>(send);
        if (detoured) {
            if (detoured->ok()) {
                co_return *detoured;
            }
            const bool ranNowhere = ran == Executed::No && toFailure(detoured->status()).executed == Executed::No;
            co_return failed(
                FailureKind::TableUnreachable, "neither directly nor through a relay", ranNowhere ? Executed::No : Executed::Unknown);
        }
        wire::PeerCall call;
        *call.mutable_transaction() = toWire(transaction);
        const std::pair<Executed, std::optional<wire::StoreAnswer>> relayed = co_await relay(std::move(call));
        if (relayed.second) {
            co_return verdictFromWire(*relayed.second);
        }
        const bool surelyNot = ran == Executed::No && relayed.first == Executed::No;
        co_return failed(
            FailureKind::TableUnreachable, "neither directly nor through a peer", surelyNot ? Executed::No : Executed::Unknown);
    }

    boost::asio::awaitable<absl::StatusOr<RowsSnapshot>> read(const std::string &table, const std::string &part)
    {
        const bool triedDirect = m_directReachable;
        if (triedDirect) {
            absl::StatusOr<RowsSnapshot> rows = co_await m_direct.read(table, part);
            noteDirect(rows.status());
            if (rows.ok()) {
                co_return rows;
            }
        }
        const auto send = [&table, &part](Store &store) {
            return store.read(table, part);
        };
        const std::optional<absl::StatusOr<RowsSnapshot>> detoured = co_await detour<RowsSnapshot>(send);
        if (detoured) {
            co_return *detoured;
        }
        wire::PeerCall call;
        call.mutable_read()->set_table(table);
        call.mutable_read()->set_part(part);
        const std::pair<Executed, std::optional<wire::StoreAnswer>> relayed = co_await relay(std::move(call));
        if (relayed.second) {
            co_return readFromWire(*relayed.second);
        }
        if (triedDirect) {
            co_return failed(FailureKind::TableUnreachable, "neither directly nor through a peer");
        }
        // Somebody has to find out when the direct way is open again.
        absl::StatusOr<RowsSnapshot> rows = co_await m_direct.read(table, part);
        noteDirect(rows.status());
        co_return rows;
    }

    /// Changes are followed directly or through a relay, not through peers; without relays, whoever follows finds out when the direct way
    /// is open again.
    boost::asio::awaitable<absl::StatusOr<RowsFeed>> follow(const std::string &table, std::uint64_t version, Duration wait)
    {
        if (!m_directReachable) {
            const auto send = [&table, version, wait](Store &store) {
                return store.follow(table, version, wait);
            };
            const std::optional<absl::StatusOr<RowsFeed>> detoured = co_await detour<RowsFeed>(send);
            if (detoured) {
                co_return *detoured;
            }
        }
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
            const absl::StatusOr<RowTransactionResult> verdict = co_await m_direct.transact(transaction);
            status = verdict.status();
            if (verdict.ok()) {
                *answer.mutable_store() = toWire(*verdict);
            }
        } else {
            const absl::StatusOr<RowsSnapshot> rows = co_await m_direct.read(call.read().table(), call.read().part());
            status = rows.status();
            if (rows.ok()) {
                *answer.mutable_store() = toWire(*rows);
            }
        }
        noteDirect(status);
        answer.set_done(status.ok());
        answer.set_done_unknown(!status.ok() && toFailure(status).executed != Executed::No);
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
        if (!m_directReachable && !m_probing && m_detours != nullptr) {
            m_probing = true;
            boost::asio::co_spawn(m_link.executor(), probe(), boost::asio::detached);
        }
    }

    /// Tries the direct way until it is open again: with relays that answer, nobody else would.
    boost::asio::awaitable<void> probe()
    {
        const std::string nowhere;
        const std::string table(s_probedTable);
        while (!m_directReachable) {
            co_await pause(m_options.probePause);
            const absl::StatusOr<RowsSnapshot> rows = co_await m_direct.read(table, nowhere);
            m_directReachable = m_directReachable || rows.ok();
        }
        m_probing = false;
    }

    /// What the store said by way of a relay; none when there is no relay to try.
    template<typename Answer, typename Send>
    boost::asio::awaitable<std::optional<absl::StatusOr<Answer>>> detour(Send send)
    {
        std::optional<absl::StatusOr<Answer>> answer;
        Executed ran = Executed::No;
        for (std::size_t tried = 0; tried < m_options.detoursTried; ++tried) {
            const std::shared_ptr<Store> store = currentDetour();
            if (!store) {
                break;
            }
            const std::string relay = m_relay;
            answer = co_await send(*store);
            if (answer->ok()) {
                m_detours->worked(relay);
                co_return answer;
            }
            ran = toFailure(answer->status()).executed == Executed::No ? ran : Executed::Unknown;
            leaveDetour(relay);
        }
        if (answer) {
            m_noDetourUntil = steadyNow() + m_options.detourPause;
            answer = failed(FailureKind::TableUnreachable, "no relay reaches it", ran);
        }
        co_return answer;
    }

    std::shared_ptr<Store> currentDetour()
    {
        const Instant now = steadyNow();
        if (m_detours == nullptr || now < m_noDetourUntil) {
            return nullptr;
        }
        if (m_detour) {
            return m_detour;
        }
        const std::optional<std::string> relay = m_detours->choose(now);
        if (relay) {
            m_relay = *relay;
            m_detour = m_openDetour(*relay);
        }
        return m_detour;
    }

    /// The relay did not help. Calls that were made at the same time may have noticed it first.
    void leaveDetour(const std::string &relay)
    {
        m_detours->failed(relay, steadyNow());
        if (relay == m_relay) {
            logLine(Severity::Info, "store.relay_failed", {{"relay", relay}});
            m_detour.reset();
        }
    }

    /// The store's answer through some peer, or whether the call may have taken effect.
    boost::asio::awaitable<std::pair<Executed, std::optional<wire::StoreAnswer>>> relay(wire::PeerCall call)
    {
        std::pair<Executed, std::optional<wire::StoreAnswer>> result{Executed::No, std::nullopt};
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
                result.first = Executed::Unknown;
            }
        }
        m_noRelayUntil = steadyNow() + m_options.relayPause;
        co_return result;
    }

    /// A read of an empty table costs the store as little as anything.
    static constexpr std::string_view s_probedTable = "probe";

    Store &m_direct;
    PeerLink &m_link;
    Options m_options;
    /// The relays, and the way through the one in use.
    Detours *m_detours = nullptr;
    OpenDetour m_openDetour;
    std::shared_ptr<Store> m_detour;
    std::string m_relay;
    Instant m_noDetourUntil{};
    bool m_probing = false;
    std::mt19937 m_random;
    std::string m_lastHelper;
    Instant m_noRelayUntil{};
    bool m_directReachable = true;
};

}
