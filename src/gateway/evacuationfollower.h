#pragma once

#include "gateway/targetbalancer.h"
#include "membership/evacuations.h"
#include "operations/metrics.h"
#include "store/rowstore.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>

namespace bamboohold {

/// Applies orders to evacuate failure domains, from the store's rows and from peers, to the balancer.
///
/// The key of a row alone is the order, whatever its value: an operator wants the domain evacuated even if the value cannot be read. A row
/// that names no domain is logged and has no effect.
class EvacuationFollower
{
public:
    struct Options {
        /// The failure domain that a row evacuates; none for a row that is not an evacuation order. Fails with InvalidDocument for an order
        /// that names no domain.
        std::function<absl::StatusOr<std::optional<std::string>>(const StoredRow &)> decodeDomain;
        /// Called with a state that came from the store, for peers that are cut off from the store.
        std::function<void(const Evacuations::State &)> announce = [](const Evacuations::State &) {};
        /// The host label of this router's metrics.
        std::string host;
    };

    /// The balancer and the metrics must outlive this object.
    EvacuationFollower(TargetBalancer &balancer, Metrics &metrics, Options options);

    /// The rows applied from now on are of this generation of the store.
    void beginGeneration(StoreGeneration generation);

    /// Replaces the orders by a consistent read of the whole table. Takes effect with commitStoreVersion().
    void applyTable(std::span<const StoredRow> rows);

    /// Applies a changed row; version 0 means that it was removed. Takes effect with commitStoreVersion().
    void applyChange(const StoredRow &row);

    /// Puts the rows applied so far in force as the store's state at this version, unless a newer state is in force.
    void commitStoreVersion(std::uint64_t version, Instant now);

    /// Puts a peer's state in force, unless a newer one is.
    void applyPeerState(const Evacuations::State &state, Instant now);

    /// Drops the orders of an earlier generation whose settling time has passed. Call periodically.
    void settle(Instant now);

    /// The state in force; none until the first one from the store or a peer.
    const std::optional<Evacuations::State> &inForce() const
    {
        return m_evacuations.inForce();
    }

private:
    std::optional<std::string> readDomain(const StoredRow &row) const;
    /// Applies the state in force to the balancer, and logs and counts it.
    void activate(std::string_view source, Instant now);

    TargetBalancer &m_balancer;
    Metrics &m_metrics;
    Options m_options;
    Evacuations m_evacuations;
};

}
