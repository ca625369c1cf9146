#pragma once

#include "clock/instant.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace bamboohold {

/// The closed set of ends of a request, as callers and the ledger see them.
enum class Outcome {
    Answered,
    NotRun,
    FailedAfterRunning,
    Unknown,
};

/// The stable name of an outcome: "answered", "not_run", "failed_after_running" or "unknown".
std::string_view outcomeName(Outcome outcome);

/// The one line of the ledger that bills a request.
struct Charge {
    std::string requestId;
    std::string team;
    std::string budget;
    std::string target;
    std::uint32_t attempt = 0;
    Outcome outcome = Outcome::Answered;
    Tokens promptTokens = 0;
    Tokens outputTokens = 0;
    /// What the budget pays. Equals prompt plus output when the engine reported them, else the reserved worst case.
    Tokens tokens = 0;
    /// True when the engine gave no count and the worst case was charged.
    bool estimated = false;
    /// Wall-clock milliseconds since 1970, for people.
    std::int64_t chargedAtMs = 0;
};

/// JSON forms in the ledger's batch objects.
boost::json::object toJson(const Charge &charge);
Charge chargeFromJson(const boost::json::object &object);

}
