#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bamboohold {

/// Every way in which the fleet can decline or fail, as callers, logs and the ledger name it.
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

/// What is known about whether the engine ran a request.
enum class Ran {
    No,
    Yes,
    Unknown,
};

/// The typed content of a failed absl::Status. It travels as a payload, so that the kind, not the text, decides what happens next.
struct Failure {
    FailureKind kind = FailureKind::InvalidRequest;
    /// What a person needs to act: the flag, the path or the row concerned.
    std::string detail;
    Ran ran = Ran::No;
    /// Milliseconds after which trying again may help; empty when it never will.
    std::optional<std::int64_t> retryAfterMs;
};

/// The stable, lower-case name of a kind, as in the `type` field of an error answer.
std::string_view failureName(FailureKind kind);

/// The name of a Ran value: "no", "yes" or "unknown".
std::string_view ranName(Ran ran);

/// Wraps a failure in a status of the nearest absl code.
absl::Status toStatus(const Failure &failure);

/// The failure carried by a status that is not OK; a status made elsewhere becomes EngineFailed with an unknown run.
Failure toFailure(const absl::Status &status);

/// Short form for the common case of a failure without a time to come back.
absl::Status failed(FailureKind kind, std::string_view detail, Ran ran = Ran::No);

}
