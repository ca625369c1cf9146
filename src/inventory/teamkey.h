#pragma once

#include "inventory/inventory.h"

#include <string>
#include <string_view>

namespace bamboohold {

/// The team's name within a key of the form TEAM.SECRET; empty when the key has another form.
std::string_view teamOfKey(std::string_view key);

/// Makes a new key for a team, stores its salted hash in the team, and returns the key: the only time it can be read.
std::string issueKey(Team &team);

/// True when the key's salted hash is the team's. Takes the same time wherever the first difference is, so that a key cannot be guessed
/// byte by byte.
bool keyMatches(const Team &team, std::string_view key);

}
