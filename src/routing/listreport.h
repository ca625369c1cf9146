#pragma once

#include "clock/instant.h"

namespace bamboohold {

/// What a router knows of how the store has served the list of targets. Routers tell it to each other.
struct ListReport {
    /// For how long the store has served the list without interruption, as far as the router has seen; zero while it does not reach the
    /// store.
    Duration servedFor{};
    /// The store itself was away, or is: its entries may have lapsed.
    bool storeAway = false;
};

}
