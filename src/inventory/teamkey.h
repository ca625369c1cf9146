#pragma once

#include "inventory/inventory.h"

#include <string>
#include <string_view>

namespace bamboohold {

/// The name of the team in a key of the form TEAM.SECRET; empty if the key has another form.
std::string_view teamOfKey(std::string_view key);

/// Generates a new key for a team, stores its salted hash in the team and returns the key, which cannot be retrieved later.
std::string issueKey(Team &team);

/// True if the salted hash of the key is that of the team. Takes the same time wherever the first difference is, so that a key cannot be
/// guessed byte by byte.
bool keyMatches(const Team &team, std::string_view key);

}
