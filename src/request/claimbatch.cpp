#include "request/claimbatch.h"

#include <absl/strings/escaping.h>

#include <algorithm>

namespace bamboohold {

namespace {

boost::json::object rowFields(const Claim &claim)
{
    return {{"request", claim.requestId},
            {"router", claim.router},
            {"state", claim.state == Claim::State::Done ? "done" : "claimed"},
            {"outcome", claim.outcome},
            {"result", claim.resultObject},
            {"status", static_cast<std::int64_t>(claim.status)},
            {"content_type", claim.contentType}};
}

}

std::string claimKey(std::string_view team, std::string_view idempotencyKey)
{
    return std::string("claim/").append(team).append("/").append(absl::WebSafeBase64Escape({idempotencyKey.data(), idempotencyKey.size()}));
}

Claim claimFromRow(const TableRow &row)
{
    return {.key = row.key,
            .requestId = textField(row.fields, "request"),
            .router = textField(row.fields, "router"),
            .state = textField(row.fields, "state") == "done" ? Claim::State::Done : Claim::State::Claimed,
            .outcome = textField(row.fields, "outcome"),
            .resultObject = textField(row.fields, "result"),
            .status = static_cast<unsigned>(integerField(row.fields, "status")),
            .contentType = textField(row.fields, "content_type"),
            .version = row.version};
}

std::size_t ClaimBatch::add(Claim claim, std::optional<std::uint64_t> version, bool remove)
{
    m_writes.push_back({.claim = std::move(claim), .version = version, .remove = remove});
    return m_writes.size() - 1;
}

TableTransaction ClaimBatch::transaction() const
{
    TableTransaction transaction;
    for (const ClaimWrite &write : m_writes) {
        if (write.result) {
            continue;
        }
        if (write.remove) {
            transaction.operations.push_back(
                {.kind = TableOperation::Kind::Remove, .key = write.claim.key, .expectedVersion = write.version});
        } else {
            transaction.operations.push_back(putRow(write.claim.key, rowFields(write.claim), write.version.value_or(0)));
        }
    }
    return transaction;
}

void ClaimBatch::applyVerdict(const TableTransactionResult &verdict)
{
    std::vector<ClaimWrite *> open;
    for (ClaimWrite &write : m_writes) {
        if (!write.result) {
            open.push_back(&write);
        }
    }
    if (verdict.applied) {
        for (std::size_t index = 0; index < open.size(); ++index) {
            open[index]->result = ClaimResult{.succeeded = true, .version = verdict.versions[index]};
        }
        return;
    }
    for (const TableObstacle &obstacle : verdict.obstacles) {
        ClaimWrite &write = *open[obstacle.operation];
        const Claim existingClaim = claimFromRow(obstacle.row);
        // A row that is already as requested was written by an earlier attempt of this batch whose answer was lost. For a removal, that is
        // a row that no longer exists.
        const bool writtenBefore = write.remove ? obstacle.row.version == 0 : obstacle.row.fields == rowFields(write.claim);
        write.result = ClaimResult{.succeeded = writtenBefore, .existingClaim = existingClaim, .version = obstacle.row.version};
    }
}

bool ClaimBatch::done() const
{
    return std::all_of(m_writes.begin(), m_writes.end(), [](const ClaimWrite &write) {
        return write.result.has_value();
    });
}

}
