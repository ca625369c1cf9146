#pragma once

#include "inventory/inventory.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace bamboohold {

/// Key of the row that names the newest accepted configuration, and key of the object that stores the document of a version.
inline constexpr std::string_view s_configurationHead = "configuration/head";
std::string configurationObject(std::uint64_t version, std::string_view changeId);

/// One accepted version of the inventory and its rules, with the lookups that requests need. Immutable, so that any thread may read it.
class Configuration
{
public:
    Configuration(std::uint64_t version, Inventory inventory);

    /// The version number; 0 before the first accepted version.
    std::uint64_t version() const
    {
        return m_version;
    }

    /// The inventory that was accepted with this version.
    const Inventory &inventory() const
    {
        return m_inventory;
    }

    /// The team that a bearer key belongs to, or null. Hashes are compared in constant time.
    const Team *authenticate(std::string_view key) const;

private:
    std::uint64_t m_version = 0;
    Inventory m_inventory;
    absl::flat_hash_map<std::string, const Team *> m_teams;
};

/// Shared, because requests keep the version that they started with while a newer one replaces it.
using ConfigurationPointer = std::shared_ptr<const Configuration>;

}
