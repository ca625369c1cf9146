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
/// A router learns of orders from the store and from peers, in any order. Each source reports the complete set of domains at a position of
/// the store, and the newest one is in force, so that neither a late notice nor a read over a slow path restores an older state.
///
/// When the store has come back from a copy, orders given since may be missing until they are written again. A domain that was evacuated
/// before stays so until its order is seen or removed in the new generation, or for the settling time.
class Evacuations
{
public:
    /// The failure domains whose orders the store has at a generation and version.
    struct State {
        StoreGeneration generation = 0;
        std::uint64_t version = 0;
        std::set<std::string> domains;

        StorePosition position() const
        {
            return {.generation = generation, .version = version};
        }
    };

    /// How long a domain stays evacuated without an order after this router first saw a new generation.
    static constexpr Duration s_settlingTime = std::chrono::seconds(5);

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

    /// The evacuated domains: those of the state in force and those that stay evacuated from an earlier generation.
    const std::set<std::string> &domains() const
    {
        return m_evacuated;
    }

    /// The state in force; none until the first one from the store or a peer.
    const std::optional<State> &inForce() const
    {
        return m_inForce;
    }

private:
    /// Puts the state in force unless a newer one is, and returns whether the evacuated domains changed.
    bool adoptIfNewer(const State &state, Instant now);
    /// Determines the evacuated domains again and returns whether they changed.
    bool updateDomains();

    /// The evacuated domains of the store's table, as far as its rows were applied.
    std::set<std::string> m_storeDomains;
    /// The generation of these rows.
    StoreGeneration m_storeGeneration = 0;
    std::optional<State> m_inForce;
    /// Domains that were evacuated in an earlier generation and whose orders were neither seen nor removed in this one.
    std::set<std::string> m_unsettled;
    Instant m_generationSeenAt{};
    std::set<std::string> m_evacuated;
};

}
