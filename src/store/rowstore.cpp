#include "store/rowstore.h"

#include <set>

namespace bamboohold {

std::string_view storeCallName(StoreCall::Kind kind)
{
    switch (kind) {
    case StoreCall::Kind::Read:
        return "read";
    case StoreCall::Kind::Write:
        return "write";
    case StoreCall::Kind::Follow:
        return "follow";
    }
    return "unknown";
}

std::vector<bool> supersededLargeRows(std::span<const StoredRow> changes, std::size_t minBytes)
{
    std::vector<bool> superseded(changes.size(), false);
    std::set<RowAddress> newer;
    for (std::size_t index = changes.size(); index > 0; --index) {
        const StoredRow &row = changes[index - 1];
        const bool newest = newer.insert(row.address).second;
        superseded[index - 1] = !newest && row.value.size() >= minBytes;
    }
    return superseded;
}

}
