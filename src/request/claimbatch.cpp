#include "request/claimbatch.h"

#include <absl/strings/escaping.h>

#include <algorithm>

namespace bamboohold {

namespace {

boost::json::object fieldsOf(const Claim &claim)
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
    m_wishes.push_back({.claim = std::move(claim), .version = version, .remove = remove});
    return m_wishes.size() - 1;
}

TableTransaction ClaimBatch::transaction() const
{
    TableTransaction transaction;
    for (const Wish &wish : m_wishes) {
        if (wish.result) {
            continue;
        }
        if (wish.remove) {
            transaction.operations.push_back(
                {.kind = TableOperation::Kind::Remove, .key = wish.claim.key, .expectedVersion = wish.version});
        } else {
            transaction.operations.push_back(putRow(wish.claim.key, fieldsOf(wish.claim), wish.version.value_or(0)));
        }
    }
    return transaction;
}

void ClaimBatch::answered(const TableTransactionResult &verdict)
{
    std::vector<Wish *> open;
    for (Wish &wish : m_wishes) {
        if (!wish.result) {
            open.push_back(&wish);
        }
    }
    if (verdict.applied) {
        for (std::size_t index = 0; index < open.size(); ++index) {
            open[index]->result = ClaimResult{.taken = true, .version = verdict.versions[index]};
        }
        return;
    }
    for (const TableObstacle &obstacle : verdict.obstacles) {
        Wish &wish = *open[obstacle.operation];
        const Claim standing = claimFromRow(obstacle.row);
        // A row as wished is this batch's own earlier try, whose answer was lost; a row that is gone was given up by it.
        const bool ownEarlierTry = wish.remove ? obstacle.row.version == 0 : obstacle.row.fields == fieldsOf(wish.claim);
        wish.result = ClaimResult{.taken = ownEarlierTry, .standing = standing, .version = obstacle.row.version};
    }
}

bool ClaimBatch::done() const
{
    return std::all_of(m_wishes.begin(), m_wishes.end(), [](const Wish &wish) {
        return wish.result.has_value();
    });
}

}
