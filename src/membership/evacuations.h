#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace bamboohold {

/// Which failure domains the operators have evacuated: their targets take nothing new until the order is taken back.
///
/// A router learns of orders from the store and from peers, in any order. Each source tells the whole set as of a version of the store, and
/// the newest version holds, so that neither a late notice nor a read by a slow way brings an older state back.
class Evacuations
{
public:
    /// The evacuated failure domains as of a version of the store.
    struct State {
        std::uint64_t version = 0;
        std::set<std::string> domains;
    };

    /// The table as of one moment; the domains that it has orders for.
    void replaceStoreDomains(std::set<std::string> domains);

    /// One order was given or taken back, after the last state that was read.
    void applyStoreChange(const std::string &domain, bool evacuated);

    /// All that was read or changed so far is the store's state as of this version. True when it changes what is in force here.
    bool commitStoreVersion(std::uint64_t version);

    /// A peer's state. True when it changes what is in force here.
    bool applyPeerState(const State &state);

    /// What is in force; none until the store or a peer has told.
    const std::optional<State> &inForce() const
    {
        return m_inForce;
    }

private:
    bool adoptIfNewer(const State &state);

    /// What the store's table has, as far as it was read.
    std::set<std::string> m_storeDomains;
    std::optional<State> m_inForce;
};

}
