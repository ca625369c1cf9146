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

/// Takes orders to evacuate failure domains, from the store's rows and from peers, into the board.
///
/// The row's key alone is the order: whatever its value, an operator wants the domain empty. A row that names no domain is logged and
/// changes nothing.
class EvacuationFollower
{
public:
    struct Options {
        /// The failure domain that a row evacuates; none for a row that is no such order; InvalidDocument for one that names no domain.
        std::function<absl::StatusOr<std::optional<std::string>>(const StoredRow &)> decodeDomain;
        /// Called with what the store has changed, for peers that do not hear of it from the store.
        std::function<void(const Evacuations::State &)> announce = [](const Evacuations::State &) {};
        /// Label of this router's metrics.
        std::string host;
    };

    /// What it fills outlives it.
    EvacuationFollower(TargetBalancer &balancer, Metrics &metrics, Options options);

    /// The table as of one moment.
    void applyTable(std::span<const StoredRow> rows);

    /// A row that changed; version 0 when it was removed.
    void applyChange(const StoredRow &row);

    /// What was told so far is the store's state as of this version; from now on it is in force.
    void commitStoreVersion(std::uint64_t version, Instant now);

    /// A peer's state.
    void applyPeerState(const Evacuations::State &state, Instant now);

    /// What is in force; none until the store or a peer has told.
    const std::optional<Evacuations::State> &inForce() const
    {
        return m_evacuations.inForce();
    }

private:
    std::optional<std::string> readDomain(const StoredRow &row) const;
    void activate(std::string_view source, Instant now);

    TargetBalancer &m_balancer;
    Metrics &m_metrics;
    Options m_options;
    Evacuations m_evacuations;
};

}
