#pragma once

#include "clock/instant.h"

#include <cstdint>
#include <string>

namespace bamboohold {

/// A segment of a prompt that several requests may share. An engine that has the segment and all segments before it in its cache does not
/// process it again.
struct PromptPart {
    std::uint64_t id = 0;
    Tokens tokens = 0;
};

/// A target as the platform's list describes it.
struct TargetListing {
    /// Identifies one run of a process. Its address may be reused by a later process.
    std::string incarnation;
    std::string service;
    std::string address;
    std::string failureDomain;
    /// The target has announced that it is shutting down.
    bool leaving = false;
    /// Time until the target is warm; zero for a target that is.
    Duration warmup{};
    /// ADDRESS:PORT of the relay beside the target; empty where no relay can run.
    std::string relay;
    /// Requests that the target processes concurrently; 0 when not known.
    std::uint32_t slots = 0;
    /// The version of the target's software; empty when it is not known. Versions are only compared for equality.
    std::string version;
    /// The name that a process keeps across restarts; empty when each run has a name of its own.
    std::string identity;
    /// The name under which the list has the process, and by which senders address it.
    const std::string &name() const
    {
        return identity.empty() ? incarnation : identity;
    }
};

/// Why a listed target accepts no new requests.
enum class OutOfServiceReason {
    /// Its record in the list is invalid.
    Unusable,
    /// It has announced its shutdown, which is final for this incarnation.
    Leaving,
    /// Its failure domain is evacuated, until the order is revoked.
    Evacuated,
};

/// What the end of an attempt shows about the health of its target.
enum class HealthSignal {
    /// The target answered the request.
    Success,
    /// The target declined the request without running it.
    Declined,
    /// The target answered with an error of its own.
    ErrorResponse,
    /// The connection could not be established, broke, or became silent.
    ConnectionFailure,
    /// The end shows nothing about the target: the caller disconnected, or time ran out elsewhere.
    Neutral,
};

}
