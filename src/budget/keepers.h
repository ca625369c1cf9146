#pragma once

#include "clock/instant.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// Tokens of a team's whole budget for each router that holds a part of it, in usual requests. With fewer, a router's part is a request or
/// two: it strands when the budget ends or the router dies, and does not last through a cut.
inline constexpr double s_requestsPerKeeper = 20;

/// Routers that keep a budget at the least, so that the loss of one leaves another.
inline constexpr std::size_t s_fewestKeepers = 2;

/// Routers that keep a budget at the most, however large it is. What each of them holds apart from the others has to be joined again when
/// the budget ends, and each reads and writes the budget's rows, so that more keepers cost calls and strand remainders; fewer leave more
/// of it out of reach when one dies.
inline constexpr std::size_t s_mostKeepers = 5;

/// What a usual request reserves, before a router has seen any.
inline constexpr double s_usualBoundAtFirst = 4000;

/// The routers that hold parts of a team's budget, best first: all of them for a large budget, a few for a small one. The others borrow
/// from these for each request. Rendezvous hashing: every router comes to the same list by itself, and a router that joins or leaves moves
/// only the budgets that it keeps.
std::vector<std::string> keepersOf(std::string_view team, Tokens prepaid, double usualBound, std::span<const std::string> routers);

}
