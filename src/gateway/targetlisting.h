#pragma once

#include "clock/instant.h"

#include <cstdint>
#include <string>

namespace bamboohold {

/// A part of a prompt that several requests may share. The engine skips a part that it has cached, if it has all parts before it too.
struct PromptPart {
    std::uint64_t id = 0;
    Tokens tokens = 0;
};

/// A target as the platform's list shows it.
struct TargetListing {
    /// One life of a process; its address may later belong to another.
    std::string incarnation;
    std::string service;
    std::string address;
    std::string failureDomain;
    bool leaving = false;
    Duration warmup{};
    /// Where a relay to the store listens beside it, if one does; empty when none can.
    std::string relay;
    /// Requests that it works on at one time; 0 when that is not known.
    std::uint32_t slots = 0;
    /// The name that a process keeps when it starts again; empty when each life has a name of its own.
    std::string identity;
    /// What the process is called in the list, and by whoever sends to it.
    const std::string &name() const
    {
        return identity.empty() ? incarnation : identity;
    }
};

/// Why a target takes no new work, although the list shows it.
enum class OutOfServiceReason {
    /// Its record cannot be used.
    Unusable,
    /// It has said that it leaves; this life of it does not come back.
    Leaving,
    /// Its failure domain is evacuated, until the order is taken back.
    Evacuated,
};

/// How an attempt at a target ended, as far as it tells something about the target.
enum class HealthSignal {
    /// Answered in good order.
    Success,
    /// Declined without running the request.
    Declined,
    /// Answered with a failure of its own.
    ErrorResponse,
    /// Could not be connected to, went silent, or broke off.
    ConnectionFailure,
    /// Says nothing about the target: the caller left, or time ran out elsewhere.
    Neutral,
};

}
