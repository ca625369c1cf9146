#include "store/rowstore.h"

#include <set>

namespace bamboohold {

std::vector<bool> supersededLargeRows(std::span<const StoredRow> changes, std::size_t leastBytes)
{
    std::vector<bool> superseded(changes.size(), false);
    std::set<RowAddress> newer;
    for (std::size_t index = changes.size(); index > 0; --index) {
        const StoredRow &row = changes[index - 1];
        const bool newest = newer.insert(row.address).second;
        superseded[index - 1] = !newest && row.value.size() >= leastBytes;
    }
    return superseded;
}

}
