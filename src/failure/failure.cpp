#include "failure/failure.h"

#include <absl/strings/cord.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <array>
#include <utility>

namespace bamboohold {

namespace {

constexpr std::string_view s_payloadUrl = "type.bamboohold/failure";

struct KindEntry {
    FailureKind kind;
    std::string_view name;
    absl::StatusCode code;
};

constexpr std::array s_kinds{
    KindEntry{FailureKind::InvalidSetting, "invalid_setting", absl::StatusCode::kInvalidArgument},
    KindEntry{FailureKind::InvalidDocument, "invalid_document", absl::StatusCode::kInvalidArgument},
    KindEntry{FailureKind::InvalidRequest, "invalid_request", absl::StatusCode::kInvalidArgument},
    KindEntry{FailureKind::Unauthenticated, "unauthenticated", absl::StatusCode::kUnauthenticated},
    KindEntry{FailureKind::Forbidden, "forbidden", absl::StatusCode::kPermissionDenied},
    KindEntry{FailureKind::UnknownModel, "unknown_model", absl::StatusCode::kNotFound},
    KindEntry{FailureKind::UnknownService, "unknown_service", absl::StatusCode::kNotFound},
    KindEntry{FailureKind::BudgetExhausted, "budget_exhausted", absl::StatusCode::kResourceExhausted},
    KindEntry{FailureKind::BudgetUnreachable, "budget_unreachable", absl::StatusCode::kUnavailable},
    KindEntry{FailureKind::BudgetClosed, "budget_closed", absl::StatusCode::kFailedPrecondition},
    KindEntry{FailureKind::NoTarget, "no_target", absl::StatusCode::kUnavailable},
    KindEntry{FailureKind::Overloaded, "overloaded", absl::StatusCode::kUnavailable},
    KindEntry{FailureKind::DeadlineExceeded, "deadline_exceeded", absl::StatusCode::kDeadlineExceeded},
    KindEntry{FailureKind::Draining, "draining", absl::StatusCode::kUnavailable},
    KindEntry{FailureKind::ClaimUnavailable, "claim_unavailable", absl::StatusCode::kUnavailable},
    KindEntry{FailureKind::AlreadyRunning, "already_running", absl::StatusCode::kAlreadyExists},
    KindEntry{FailureKind::TargetLost, "target_lost", absl::StatusCode::kUnknown},
    KindEntry{FailureKind::AnswerIncomplete, "answer_incomplete", absl::StatusCode::kDataLoss},
    KindEntry{FailureKind::EngineFailed, "engine_failed", absl::StatusCode::kInternal},
    KindEntry{FailureKind::TableUnreachable, "table_unreachable", absl::StatusCode::kUnavailable},
    KindEntry{FailureKind::TableConflict, "table_conflict", absl::StatusCode::kAborted},
    KindEntry{FailureKind::TableGuard, "table_guard", absl::StatusCode::kFailedPrecondition},
    KindEntry{FailureKind::ObjectUnreachable, "object_unreachable", absl::StatusCode::kUnavailable},
    KindEntry{FailureKind::NotFound, "not_found", absl::StatusCode::kNotFound},
    KindEntry{FailureKind::Fenced, "fenced", absl::StatusCode::kFailedPrecondition},
    KindEntry{FailureKind::Cancelled, "cancelled", absl::StatusCode::kCancelled},
    KindEntry{FailureKind::Quarantined, "quarantined", absl::StatusCode::kUnavailable},
};

const KindEntry &entryOf(FailureKind kind)
{
    return s_kinds.at(static_cast<std::size_t>(kind));
}

}

std::string_view failureName(FailureKind kind)
{
    return entryOf(kind).name;
}

std::string_view executedName(Executed executed)
{
    switch (executed) {
    case Executed::No:
        return "no";
    case Executed::Yes:
        return "yes";
    case Executed::Unknown:
        break;
    }
    return "unknown";
}

absl::Status toStatus(const Failure &failure)
{
    absl::Status status(entryOf(failure.kind).code, absl::StrCat(std::string(failureName(failure.kind)), ": ", failure.detail));
    const std::int64_t retryAfter = failure.retryAfterMs.value_or(-1);
    const std::string payload =
        absl::StrCat(static_cast<int>(failure.kind), "\n", static_cast<int>(failure.executed), "\n", retryAfter, "\n", failure.detail);
    status.SetPayload({s_payloadUrl.data(), s_payloadUrl.size()}, absl::Cord(payload));
    return status;
}

Failure toFailure(const absl::Status &status)
{
    const auto payload = status.GetPayload({s_payloadUrl.data(), s_payloadUrl.size()});
    if (!payload) {
        return Failure{.kind = FailureKind::EngineFailed, .detail = std::string(status.message()), .executed = Executed::Unknown};
    }
    const std::vector<std::string> parts = absl::StrSplit(std::string(*payload), absl::MaxSplits('\n', 3));
    int kind = 0;
    int executed = 0;
    std::int64_t retryAfter = -1;
    (void)absl::SimpleAtoi(parts.at(0), &kind);
    (void)absl::SimpleAtoi(parts.at(1), &executed);
    (void)absl::SimpleAtoi(parts.at(2), &retryAfter);
    Failure failure{.kind = static_cast<FailureKind>(kind), .detail = parts.at(3), .executed = static_cast<Executed>(executed)};
    if (retryAfter >= 0) {
        failure.retryAfterMs = retryAfter;
    }
    return failure;
}

absl::Status failed(FailureKind kind, std::string_view detail, Executed executed)
{
    return toStatus(Failure{.kind = kind, .detail = std::string(detail), .executed = executed});
}

}
