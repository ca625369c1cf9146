#pragma once

#include "store/table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// A row of the table for a request that must not run twice. Its key consists of the team's name and the caller's idempotency key.
struct Claim {
    enum class State {
        /// A router may be running the request.
        Claimed,
        /// The request has ended with the outcome below.
        Done,
    };

    std::string key;
    std::string requestId;
    std::string router;
    State state = State::Claimed;
    /// Name of the outcome; empty until the request is done.
    std::string outcome;
    /// Name of the object that holds the answer's body; empty until the request is answered.
    std::string resultObject;
    /// HTTP status of the answer.
    unsigned status = 0;
    std::string contentType;
    /// Version of the row; 0 while it is not in the table.
    std::uint64_t version = 0;
};

/// Returns the row key of a claim. The idempotency key is base64-encoded, so that a caller cannot address another team's row.
std::string claimKey(std::string_view team, std::string_view idempotencyKey);

/// Decodes the claim in a row.
Claim claimFromRow(const TableRow &row);

/// Result of one write.
struct ClaimResult {
    /// True when the row is as requested, by this attempt or by an earlier one whose answer was lost.
    bool succeeded = false;
    /// Otherwise, the claim in the table that prevented the write.
    Claim existingClaim;
    std::uint64_t version = 0;
};

/// Combines several writes of claims into one table transaction, so that a table with several hundred transactions per second can take
/// thousands of claims.
///
/// A claim that is already taken does not fail the others: it gets its result, and the rest is sent again in another transaction.
///
/// Has no I/O.
class ClaimBatch
{
public:
    /// Adds a write, and returns its index. Without a version the claim must not exist yet; with one, the write replaces or removes the row
    /// only if it still has that version.
    std::size_t add(Claim claim, std::optional<std::uint64_t> version, bool remove);

    /// Returns the transaction with all writes that have no result yet.
    TableTransaction transaction() const;

    /// Processes the table's answer to the latest transaction.
    void applyVerdict(const TableTransactionResult &verdict);

    /// True when every write has a result.
    bool done() const;

    /// The result of the write with this index; empty while there is none.
    const std::optional<ClaimResult> &result(std::size_t index) const
    {
        return m_writes[index].result;
    }

private:
    struct ClaimWrite {
        Claim claim;
        std::optional<std::uint64_t> version;
        bool remove = false;
        std::optional<ClaimResult> result;
    };

    std::vector<ClaimWrite> m_writes;
};

}
