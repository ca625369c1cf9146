#pragma once

#include <absl/status/statusor.h>

#include <string_view>

namespace bamboohold {

/// Optional mechanisms of a router. Each can be disabled, so that a measurement shows what it contributes; scripts/ablate.py runs a
/// deployment once without each of them.
struct Mechanisms {
    /// Sends store calls through the relays beside the targets while the store cannot be reached directly.
    bool relays = true;
    /// Lets routers forward store calls for each other.
    bool carriedCalls = true;
    /// Keeps each small budget at a few routers only.
    bool keepers = true;
    /// Lets routers lend each other tokens.
    bool loans = true;
    /// Lets budgets with plenty of tokens left commit enough at once for the whole time in which commitments are stalled.
    bool ampleBudgets = true;
    /// Lets requests wait for the first configuration of a router that is starting.
    bool startPatience = true;
    /// Sends requests that share a part of their prompt to the same target.
    bool favourites = true;
    /// Lets routers learn from the relays beside the targets how many requests the other routers have there.
    bool sharedLoads = true;
    /// Lets an overloaded router refuse requests that it has no time for.
    bool shedding = true;
    /// Prefers other targets to those that have kept a request waiting for its first byte for long.
    bool silence = true;
    /// Pauses targets whose connections broke, or that failed several times in a row.
    bool ejection = true;
    /// Quarantines requests that crash targets.
    bool quarantine = true;
    /// Lets one process admit requests to a target that is cold or limits its request rate. If disabled, each router uses its share of that
    /// rate.
    bool admissions = true;
    /// Lets requests wait in the router, ordered by urgency, while no target has capacity for them.
    bool requestQueue = true;
    /// Sheds load and leaves the rotation by the load of the host's link, connections and memory as well as by its delay.
    bool hostLoad = true;
    /// Tells refused callers to come back when there will be capacity for them. If disabled, they are told a fixed time.
    bool plannedRetries = true;
    /// Keeps requests of teams, routes and sizes that are served far less often than all from being refused because of load.
    bool serviceShares = true;
    /// Learns how fast each target is, and shares it with the other routers.
    bool targetSpeeds = true;
};

/// Returns all mechanisms as enabled except those in the comma-separated list: relays, carried-calls, keepers, loans, ample-budgets,
/// start-patience, favourites, shared-loads, shedding, silence, ejection, quarantine, admissions, request-queue, host-load,
/// planned-retries, service-shares, target-speeds. Fails with InvalidSetting for any other name.
absl::StatusOr<Mechanisms> mechanismsWithout(std::string_view list);

}
