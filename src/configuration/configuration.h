#pragma once

#include "inventory/inventory.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace bamboohold {

/// Key of the row that names the newest accepted configuration, and the object under which a version's document is kept.
inline constexpr std::string_view s_configurationHead = "configuration/head";
std::string configurationObject(std::uint64_t version, std::string_view changeId);

/// One accepted version of the inventory and rules, with the look-ups that requests need. Immutable, so that any thread may read it.
class Configuration
{
public:
    Configuration(std::uint64_t version, Inventory inventory);

    /// Number of the version; 0 before the first.
    std::uint64_t version() const
    {
        return m_version;
    }

    /// The document.
    const Inventory &inventory() const
    {
        return m_inventory;
    }

    /// The team to which a bearer key belongs, or null. Compares in constant time.
    const Team *authenticate(std::string_view key) const;

private:
    std::uint64_t m_version = 0;
    Inventory m_inventory;
    absl::flat_hash_map<std::string, const Team *> m_teams;
};

/// Shared by the requests that run under a version while a newer one takes its place.
using ConfigurationPointer = std::shared_ptr<const Configuration>;

}
