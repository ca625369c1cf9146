#pragma once

#include "clock/instant.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// Size of a team's whole budget per assigned holder, in average requests. With less, a router's part covers only a request or two: it is
/// stranded when the budget runs out or the router dies, and does not last through a loss of the store.
inline constexpr double s_requestsPerHolder = 20;

/// Minimum number of routers that hold a budget, so that another one is left when one dies.
inline constexpr std::size_t s_minHolders = 2;

/// Maximum number of routers that hold a budget, however large it is. Each of them reads and writes the budget's rows, and their parts have
/// to be combined again when the budget runs out, so more holders cost calls and leave remainders stranded; with fewer, more of the budget
/// is unavailable when one dies.
inline constexpr std::size_t s_maxHolders = 5;

/// Assumed upper bound of a request, in tokens, before a router has seen any.
inline constexpr double s_initialRequestBound = 4000;

/// The routers that hold parts of a team's budget, in order of preference; the larger the budget, the more of them, within the limits
/// above. All other routers borrow from these for each request. Chosen by rendezvous hashing: every router computes the same list on its
/// own, and a router that joins or leaves moves only the budgets that are assigned to it.
std::vector<std::string>
assignedHolders(std::string_view team, Tokens prepaid, double averageRequestBound, std::span<const std::string> routers);

}
