#pragma once

#include <absl/status/statusor.h>

#include <string_view>

namespace bamboohold {

/// What a router does beyond the plain way of a request. Each can be left out, so that a measurement tells what it is worth; scripts/ablate
/// plays a deployment without one after the other.
struct Mechanisms {
    /// Store calls go through relays beside the targets while the direct way is cut.
    bool relays = true;
    /// Routers carry store calls for each other.
    bool carriedCalls = true;
    /// Small budgets are kept by few routers.
    bool keepers = true;
    /// Routers lend each other tokens.
    bool loans = true;
    /// Budgets with much left are not held back while commitments stand still.
    bool ampleBudgets = true;
    /// Requests wait for a starting router's first configuration.
    bool startPatience = true;
    /// Requests with the same part of a prompt go to the same target.
    bool favourites = true;
    /// Routers learn from the relays beside targets what others have there.
    bool sharedLoads = true;
    /// An overloaded router refuses what it has no time for.
    bool shedding = true;
    /// Targets that were silent for long are chosen less.
    bool silence = true;
    /// Targets that broke off or failed several times in a row rest.
    bool ejection = true;
    /// Requests that crash targets are held back.
    bool quarantine = true;
    /// One process admits requests to a target that is cold or limits what it takes; without it, shares of all routers do.
    bool admissions = true;
};

/// All mechanisms but those named in the comma-separated list: relays, carried-calls, keepers, loans, ample-budgets, start-patience,
/// favourites, shared-loads, shedding, silence, ejection, quarantine, admissions. Any other name is an InvalidSetting.
absl::StatusOr<Mechanisms> mechanismsWithout(std::string_view list);

}
