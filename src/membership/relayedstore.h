#pragma once

#include "clock/steadytime.h"
#include "membership/peerlink.h"
#include "membership/relayselector.h"
#include "net/pause.h"
#include "net/signal.h"
#include "operations/log.h"
#include "store/rowstore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bamboohold {

/// Conversions between rows and their messages on the link.
wire::StoreTransaction toWire(const RowTransaction &transaction);
RowTransaction fromWire(const wire::StoreTransaction &message);
wire::StoreAnswer toWire(const RowTransactionResult &verdict);
wire::StoreAnswer toWire(const RowsSnapshot &read);
RowTransactionResult verdictFromWire(const wire::StoreAnswer &message);
RowsSnapshot readFromWire(const wire::StoreAnswer &message);

/// A store that is reached directly or, while the direct path is down, through a relay beside a target or through a peer. A transaction may
/// be sent over several paths, because it is conditional and its sender recognises a copy that took effect earlier.
template<RowStore Store>
class RelayedStore
{
public:
    struct Options {
        /// Timeout of a call through a peer; the peer's call to the store takes as long as one of this router.
        Duration peerCallTimeout = std::chrono::milliseconds(700);
        /// If no peer reaches the store either, peers are not asked again for this long.
        Duration peerRetryInterval = std::chrono::milliseconds(400);
        /// Maximum number of peers tried for one call; whether a peer reaches the store is known only after asking it. 0 disables calls
        /// through peers.
        std::size_t maxPeersTried = 3;
        /// Maximum number of relays tried for one call: the second covers a relay that has just failed.
        std::size_t maxRelaysTried = 2;
        /// If no relay reached the store, the store itself is probably down, and relays are not tried again for this long.
        Duration relayRetryInterval = std::chrono::milliseconds(300);
        /// While the direct path is down, it is probed at this interval, whether or not earlier probes have been answered.
        Duration directProbeInterval = std::chrono::milliseconds(300);
        /// Called when a direct call that was made at `sentAt` has failed.
        std::function<void(Instant sentAt)> onDirectFailure = [](Instant) {};
    };

    /// Opens the store through the relay at this address; null if that is not possible.
    using OpenRelayStore = std::function<std::unique_ptr<Store>(const std::string &relay)>;

    RelayedStore(Store &direct, PeerLink &link, Options options)
        : m_direct(direct)
        , m_link(link)
        , m_options(std::move(options))
        , m_random(std::random_device{}())
    {
    }

    RelayedStore(Store &direct, PeerLink &link)
        : RelayedStore(direct, link, Options{})
    {
    }

    /// Makes calls use the relays that `relaySelector` selects. It must outlive this object.
    void setRelays(RelaySelector &relaySelector, OpenRelayStore open)
    {
        m_relaySelector = &relaySelector;
        m_openRelayStore = std::move(open);
    }

    boost::asio::awaitable<absl::StatusOr<RowTransactionResult>> transact(const RowTransaction &transaction)
    {
        Executed execution = Executed::No;
        if (m_directReachable) {
            const Instant sentAt = steadyNow();
            absl::StatusOr<RowTransactionResult> verdict = co_await m_direct.transact(transaction);
            recordDirectOutcome(verdict.status(), sentAt);
            if (verdict.ok()) {
                co_return verdict;
            }
            execution = toFailure(verdict.status()).executed;
        }
        const auto send = [&transaction](Store &store) {
            return store.transact(transaction);
        };
        const std::optional<absl::StatusOr<RowTransactionResult>> viaRelay = co_await callThroughRelay<RowTransactionResult>(send);
        if (viaRelay) {
            if (viaRelay->ok()) {
                co_return *viaRelay;
            }
            const bool neverExecuted = execution == Executed::No && toFailure(viaRelay->status()).executed == Executed::No;
            co_return failed(
                FailureKind::TableUnreachable, "neither directly nor through a relay", neverExecuted ? Executed::No : Executed::Unknown);
        }
        wire::PeerCall call;
        *call.mutable_transaction() = toWire(transaction);
        const std::pair<Executed, std::optional<wire::StoreAnswer>> viaPeer = co_await callThroughPeer(std::move(call));
        if (viaPeer.second) {
            co_return verdictFromWire(*viaPeer.second);
        }
        const bool notExecuted = execution == Executed::No && viaPeer.first == Executed::No;
        co_return failed(
            FailureKind::TableUnreachable, "neither directly nor through a peer", notExecuted ? Executed::No : Executed::Unknown);
    }

    /// Reads a table. While the direct path is down, a return of it ends the wait for relays and peers.
    boost::asio::awaitable<absl::StatusOr<RowsSnapshot>> read(const std::string &table, const std::string &part)
    {
        const bool triedDirect = m_directReachable;
        if (triedDirect) {
            absl::StatusOr<RowsSnapshot> rows = co_await readDirectly(table, part);
            if (rows.ok()) {
                co_return rows;
            }
        }
        const auto detour = std::make_shared<Detour>(m_link.executor());
        boost::asio::co_spawn(m_link.executor(), readByDetour(table, part, triedDirect, detour), boost::asio::detached);
        m_detours.insert(detour);
        while (!detour->result && !m_directReachable) {
            co_await detour->changed.wait(s_maxDetourTime);
        }
        m_detours.erase(detour);
        if (detour->result) {
            co_return *std::move(detour->result);
        }
        absl::StatusOr<RowsSnapshot> rows = co_await readDirectly(table, part);
        co_return rows;
    }

    /// Follows changes directly or through a relay, but not through peers. Without relays the direct path is tried each time, which detects
    /// whether it works again.
    boost::asio::awaitable<absl::StatusOr<RowsFeed>> follow(const std::string &table, std::uint64_t version, Duration wait)
    {
        if (!m_directReachable) {
            const auto send = [&table, version, wait](Store &store) {
                return store.follow(table, version, wait);
            };
            const std::optional<absl::StatusOr<RowsFeed>> viaRelay = co_await callThroughRelay<RowsFeed>(send);
            if (viaRelay) {
                co_return *viaRelay;
            }
        }
        const Instant sentAt = steadyNow();
        absl::StatusOr<RowsFeed> feed = co_await m_direct.follow(table, version, wait);
        recordDirectOutcome(feed.status(), sentAt);
        co_return feed;
    }

    /// Executes a peer's store call over the direct path only. The answer is not done if that path is down.
    boost::asio::awaitable<wire::PeerAnswer> executeForPeer(wire::PeerCall call)
    {
        wire::PeerAnswer answer;
        if (!m_directReachable) {
            co_return answer;
        }
        absl::Status status;
        const Instant sentAt = steadyNow();
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
        recordDirectOutcome(status, sentAt);
        answer.set_done(status.ok());
        answer.set_done_unknown(!status.ok() && toFailure(status).executed != Executed::No);
        co_return answer;
    }

    /// True while this process reaches the store directly.
    bool directReachable() const
    {
        return m_directReachable;
    }

private:
    /// A read that tries relays and peers, for a caller that stops waiting for it when the direct path is back.
    struct Detour {
        explicit Detour(const boost::asio::any_io_executor &executor)
            : changed(executor)
        {
        }

        Signal changed;
        std::optional<absl::StatusOr<RowsSnapshot>> result;
    };

    /// Takes the outcome of a direct call that was made at `sentAt`.
    void recordDirectOutcome(const absl::Status &status, Instant sentAt)
    {
        if (status.ok()) {
            restoreDirectPath();
            return;
        }
        m_options.onDirectFailure(sentAt);
        // A call that was made before the direct path came back says nothing about it.
        if (sentAt < m_directRestoredAt) {
            return;
        }
        m_directReachable = false;
        if (!m_probingDirectPath && m_relaySelector != nullptr) {
            m_probingDirectPath = true;
            boost::asio::co_spawn(m_link.executor(), probeDirectPath(), boost::asio::detached);
        }
    }

    void restoreDirectPath()
    {
        if (!std::exchange(m_directReachable, true)) {
            m_directRestoredAt = steadyNow();
            for (const std::shared_ptr<Detour> &detour : m_detours) {
                detour->changed.notify();
            }
        }
    }

    /// Probes the direct path until it works again. While relays answer, no other call would try it.
    boost::asio::awaitable<void> probeDirectPath()
    {
        while (!m_directReachable) {
            co_await pause(m_options.directProbeInterval);
            if (!m_directReachable) {
                // Does not wait for the answer: a call that was made just before the end of a cut takes until its timeout.
                boost::asio::co_spawn(m_link.executor(), probeOnce(), boost::asio::detached);
            }
        }
        m_probingDirectPath = false;
    }

    boost::asio::awaitable<void> probeOnce()
    {
        const std::string emptyPart;
        const std::string table(s_probeTable);
        (void)co_await readDirectly(table, emptyPart);
    }

    boost::asio::awaitable<absl::StatusOr<RowsSnapshot>> readDirectly(const std::string &table, const std::string &part)
    {
        const Instant sentAt = steadyNow();
        absl::StatusOr<RowsSnapshot> rows = co_await m_direct.read(table, part);
        recordDirectOutcome(rows.status(), sentAt);
        co_return rows;
    }

    boost::asio::awaitable<void> readByDetour(std::string table, std::string part, bool triedDirect, std::shared_ptr<Detour> detour)
    {
        const auto send = [&table, &part](Store &store) {
            return store.read(table, part);
        };
        detour->result = co_await callThroughRelay<RowsSnapshot>(send);
        if (!detour->result) {
            wire::PeerCall call;
            call.mutable_read()->set_table(table);
            call.mutable_read()->set_part(part);
            const std::pair<Executed, std::optional<wire::StoreAnswer>> viaPeer = co_await callThroughPeer(std::move(call));
            if (viaPeer.second) {
                detour->result = readFromWire(*viaPeer.second);
            } else if (triedDirect) {
                detour->result = failed(FailureKind::TableUnreachable, "neither directly nor through a peer");
            } else {
                // Nothing was tried directly in this call, so this attempt detects whether the direct path works again.
                detour->result = co_await readDirectly(table, part);
            }
        }
        detour->changed.notify();
    }

    /// The store's answer through a relay; none if there is no relay to try.
    template<typename Answer, typename Send>
    boost::asio::awaitable<std::optional<absl::StatusOr<Answer>>> callThroughRelay(Send send)
    {
        std::optional<absl::StatusOr<Answer>> answer;
        Executed execution = Executed::No;
        for (std::size_t tried = 0; tried < m_options.maxRelaysTried; ++tried) {
            const std::shared_ptr<Store> store = currentRelayStore();
            if (!store) {
                break;
            }
            const std::string relay = m_relayAddress;
            answer = co_await send(*store);
            if (answer->ok()) {
                m_relaySelector->recordRelaySuccess(relay);
                co_return answer;
            }
            execution = toFailure(answer->status()).executed == Executed::No ? execution : Executed::Unknown;
            abandonRelay(relay);
        }
        if (answer) {
            m_relaysSkippedUntil = steadyNow() + m_options.relayRetryInterval;
            answer = failed(FailureKind::TableUnreachable, "no relay reaches it", execution);
        }
        co_return answer;
    }

    std::shared_ptr<Store> currentRelayStore()
    {
        const Instant now = steadyNow();
        if (m_relaySelector == nullptr || now < m_relaysSkippedUntil) {
            return nullptr;
        }
        if (m_relayStore) {
            return m_relayStore;
        }
        const std::optional<std::string> relay = m_relaySelector->choose(now);
        if (relay) {
            m_relayAddress = *relay;
            m_relayStore = m_openRelayStore(*relay);
        }
        return m_relayStore;
    }

    /// Records the failure of a relay and stops using it, unless a concurrent call has already done so.
    void abandonRelay(const std::string &relay)
    {
        m_relaySelector->recordRelayFailure(relay, steadyNow());
        if (relay == m_relayAddress) {
            logLine(Severity::Info, "store.relay_failed", {{"relay", relay}});
            m_relayStore.reset();
        }
    }

    /// The store's answer through a peer, or whether the call may have been executed.
    boost::asio::awaitable<std::pair<Executed, std::optional<wire::StoreAnswer>>> callThroughPeer(wire::PeerCall call)
    {
        std::pair<Executed, std::optional<wire::StoreAnswer>> result{Executed::No, std::nullopt};
        if (steadyNow() < m_peersSkippedUntil) {
            co_return result;
        }
        std::vector<std::string> peers = m_link.peers();
        std::shuffle(peers.begin(), peers.end(), m_random);
        // The peer that succeeded last is asked first.
        std::stable_partition(peers.begin(), peers.end(), [this](const std::string &peer) {
            return peer == m_lastSuccessfulPeer;
        });
        peers.resize(std::min(peers.size(), m_options.maxPeersTried));
        for (const std::string &peer : peers) {
            const absl::StatusOr<wire::PeerAnswer> answer = co_await m_link.sendCall(peer, call, m_options.peerCallTimeout);
            if (answer.ok() && answer->done()) {
                m_lastSuccessfulPeer = peer;
                result.second = answer->store();
                co_return result;
            }
            if (!answer.ok() || answer->done_unknown()) {
                result.first = Executed::Unknown;
            }
        }
        m_peersSkippedUntil = steadyNow() + m_options.peerRetryInterval;
        co_return result;
    }

    /// Reading an empty table is the cheapest call.
    static constexpr std::string_view s_probeTable = "probe";
    /// Longer than the calls of a detour take together.
    static constexpr Duration s_maxDetourTime = std::chrono::seconds(10);

    Store &m_direct;
    PeerLink &m_link;
    Options m_options;
    /// The relays, and the connection through the one in use.
    RelaySelector *m_relaySelector = nullptr;
    OpenRelayStore m_openRelayStore;
    std::shared_ptr<Store> m_relayStore;
    std::string m_relayAddress;
    Instant m_relaysSkippedUntil{};
    bool m_probingDirectPath = false;
    std::mt19937 m_random;
    std::string m_lastSuccessfulPeer;
    Instant m_peersSkippedUntil{};
    bool m_directReachable = true;
    Instant m_directRestoredAt{};
    /// The detours that a caller waits for.
    std::set<std::shared_ptr<Detour>> m_detours;
};

}
