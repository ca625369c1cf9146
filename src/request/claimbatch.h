#pragma once

#include "store/table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// What the table knows of a request that must not run twice, under the team's name and the caller's idempotency key.
struct Claim {
    enum class State {
        /// A router may be running it.
        Claimed,
        /// It is over; the outcome says how.
        Done,
    };

    std::string key;
    std::string requestId;
    std::string router;
    State state = State::Claimed;
    /// Name of the outcome once done.
    std::string outcome;
    /// Object with the answer's body once answered.
    std::string resultObject;
    unsigned status = 0;
    std::string contentType;
    /// Row version once it is in the table.
    std::uint64_t version = 0;
};

/// Row of a claim. Key bytes are made harmless, so that a caller cannot name another team's row.
std::string claimKey(std::string_view team, std::string_view idempotencyKey);

/// The claim in a row.
Claim claimFromRow(const TableRow &row);

/// What became of one wish.
struct ClaimResult {
    /// True when the row is as wished, by this try or an earlier one whose answer was lost.
    bool taken = false;
    /// The claim that stands in the way, otherwise.
    Claim standing;
    std::uint64_t version = 0;
};

/// Several claims on their way to the table in one transaction: several hundred writes a second then carry thousands of claims.
///
/// Pure. One claim that is already taken must not fail the others: it is answered and the rest is sent again.
class ClaimBatch
{
public:
    /// Adds a wish: take a claim that must not exist yet, or, with a version, write over that version; removal gives it up.
    std::size_t add(Claim claim, std::optional<std::uint64_t> version, bool remove);

    /// The transaction for the wishes still open.
    TableTransaction transaction() const;

    /// The table answered.
    void answered(const TableTransactionResult &verdict);

    /// True when every wish has its result.
    bool done() const;

    /// The result of a wish; empty while open.
    const std::optional<ClaimResult> &result(std::size_t index) const
    {
        return m_wishes[index].result;
    }

private:
    struct Wish {
        Claim claim;
        std::optional<std::uint64_t> version;
        bool remove = false;
        std::optional<ClaimResult> result;
    };

    std::vector<Wish> m_wishes;
};

}
