#pragma once

#include "clock/instant.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace bamboohold {

/// How a request ended, as reported to callers and stored in the ledger. The values are exhaustive.
enum class Outcome {
    Answered,
    NotRun,
    FailedAfterRunning,
    Unknown,
};

/// Returns the stable name of an outcome: "answered", "not_run", "failed_after_running" or "unknown".
std::string_view outcomeName(Outcome outcome);

/// The single ledger entry that bills a request.
struct Charge {
    std::string requestId;
    std::string team;
    std::string budget;
    std::string target;
    std::uint32_t attempt = 0;
    Outcome outcome = Outcome::Answered;
    Tokens promptTokens = 0;
    Tokens outputTokens = 0;
    /// Tokens charged to the budget: prompt plus output tokens if the engine reported them, otherwise the reserved worst case.
    Tokens tokens = 0;
    /// True if the engine reported no token counts and the worst case was charged.
    bool estimated = false;
    /// Wall-clock time in milliseconds since the Unix epoch. For display only; nothing is decided by it.
    std::int64_t chargedAtMs = 0;
};

/// Convert a charge to and from its JSON form in a ledger page. Reading never fails: missing fields are read as empty, 0 or false, and an
/// unknown outcome as Answered.
boost::json::object toJson(const Charge &charge);
Charge chargeFromJson(const boost::json::object &object);

}
