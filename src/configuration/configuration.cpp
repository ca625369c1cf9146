#include "configuration/configuration.h"

#include "inventory/teamkey.h"

#include <absl/strings/str_cat.h>

namespace bamboohold {

std::string configurationObject(std::uint64_t version, std::string_view changeId)
{
    return absl::StrCat("configuration/", version, "-").append(changeId);
}

Configuration::Configuration(std::uint64_t version, Inventory inventory)
    : m_version(version)
    , m_inventory(std::move(inventory))
{
    for (const Team &team : m_inventory.teams) {
        m_teams.emplace(team.name, &team);
    }
}

const Team *Configuration::authenticate(std::string_view key) const
{
    const std::string teamName(teamOfKey(key));
    const auto found = m_teams.find(teamName);
    if (found == m_teams.end() || !keyMatches(*found->second, key)) {
        return nullptr;
    }
    return found->second;
}

}
