#pragma once

#include "clock/instant.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bamboohold {

/// A team's load in a scenario.
struct TeamLoad {
    std::string budget;
    Tokens prepaid = 0;
    /// Requests a second over all routers.
    double rate = 0;
    /// Average tokens used, and how many times that the worst case is.
    double averageUse = 400;
    double boundFactor = 4;
};

/// Something that happens at a fixed time.
struct ScenarioEvent {
    enum class Kind {
        TopUp,
        /// The router loses the table, or has it again.
        CutRouter,
        HealRouter,
        /// All routers lose the table: an outage.
        TableDown,
        TableUp,
        CrashRouter,
        /// All load moves to one router.
        MoveLoad,
    };

    Duration at{};
    Kind kind = Kind::TopUp;
    std::size_t index = 0;
    Tokens amount = 0;
};

/// A seeded load and what befalls it.
struct Scenario {
    std::string name;
    std::string site;
    std::size_t routers = 3;
    std::vector<TeamLoad> teams;
    Duration length = std::chrono::minutes(30);
    Duration tableLatency = std::chrono::milliseconds(5);
    Duration peerLatency = std::chrono::milliseconds(2);
    std::vector<ScenarioEvent> events;
    /// True: routers cut off from the table still reach one another.
    bool peersReachable = true;
    std::uint64_t seed = 1;
};

/// The fixed set of scenarios at the brief's sizes.
std::vector<Scenario> budgetScenarios();

}
