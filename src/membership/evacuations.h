#pragma once

#include "clock/instant.h"
#include "store/rowstore.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace bamboohold {

/// The failure domains that operators have evacuated: their targets receive no new requests until the order is revoked.
///
/// A router learns of orders from the store and from peers, in any order. Each source reports the complete set of domains at a version of
/// the store, and the newest version is in force, so that neither a late notice nor a read over a slow path restores an older state.
class Evacuations
{
public:
    /// The evacuated failure domains at a version of the store.
    struct State {
        StoreGeneration generation = 0;
        std::uint64_t version = 0;
        std::set<std::string> domains;
    };

    /// The rows applied from now on are of this generation of the store.
    void beginGeneration(StoreGeneration generation);

    /// Replaces the domains by those of a consistent read of the whole table. Takes effect with commitStoreVersion().
    void replaceStoreDomains(std::set<std::string> domains);

    /// Applies an order that was given or revoked after the last state that was read. Takes effect with commitStoreVersion().
    void applyStoreChange(const std::string &domain, bool evacuated);

    /// Puts the rows applied so far in force as the store's state at this version, unless a newer state is in force. Returns whether the
    /// evacuated domains changed.
    bool commitStoreVersion(std::uint64_t version, Instant now);

    /// Puts a peer's state in force, unless a newer one is. Returns whether the evacuated domains changed.
    bool applyPeerState(const State &state, Instant now);

    /// Drops the orders of an earlier generation whose settling time has passed. Returns whether the evacuated domains changed.
    bool settle(Instant now);

    /// The evacuated domains; empty until the first state.
    std::set<std::string> domains() const;

    /// The state in force; none until the first one from the store or a peer.
    const std::optional<State> &inForce() const
    {
        return m_inForce;
    }

private:
    bool adoptIfNewer(const State &state);

    /// The evacuated domains of the store's table, as far as its rows were applied.
    std::set<std::string> m_storeDomains;
    std::optional<State> m_inForce;
};

}
