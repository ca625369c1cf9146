#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bamboohold {

/// All kinds of refusals and failures of the fleet, as named to callers, in logs and in the ledger.
enum class FailureKind {
    InvalidSetting,
    InvalidDocument,
    InvalidRequest,
    Unauthenticated,
    Forbidden,
    UnknownModel,
    UnknownService,
    BudgetExhausted,
    BudgetUnreachable,
    BudgetClosed,
    NoTarget,
    Overloaded,
    DeadlineExceeded,
    Draining,
    ClaimUnavailable,
    AlreadyRunning,
    TargetLost,
    AnswerIncomplete,
    EngineFailed,
    TableUnreachable,
    TableConflict,
    TableGuard,
    ObjectUnreachable,
    NotFound,
    Fenced,
    Cancelled,
    Quarantined,
};

/// Whether the engine executed a request, as far as this is known.
enum class Executed {
    No,
    Yes,
    Unknown,
};

/// The typed content of a failed absl::Status. It is attached as a payload, so that code can act on the kind instead of the message.
struct Failure {
    FailureKind kind = FailureKind::InvalidRequest;
    /// What a person needs to resolve the failure: the flag, path or row concerned.
    std::string detail;
    Executed executed = Executed::No;
    /// Milliseconds after which a retry may succeed; nullopt if it never will.
    std::optional<std::int64_t> retryAfterMs;
};

/// Returns the stable, lower-case name of a kind, as in the `type` field of an error response.
std::string_view failureName(FailureKind kind);

/// Returns "no", "yes" or "unknown".
std::string_view executedName(Executed executed);

/// Wraps a failure in a status with the closest absl code.
absl::Status toStatus(const Failure &failure);

/// Returns the failure carried by a status that is not OK. A status without one becomes EngineFailed, with an unknown execution.
Failure toFailure(const absl::Status &status);

/// Returns a status for a failure without a retry time.
absl::Status failed(FailureKind kind, std::string_view detail, Executed executed = Executed::No);

}
