#pragma once

#include "store/rowstore.h"

#include <absl/status/statusor.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace bamboohold {

/// The store's table of software versions. It has one part, with a row for each service whose key is the service's name.
inline constexpr std::string_view s_versionTable = "versions";

/// The software versions that the targets of a service have had, as all routers together have seen them in the list.
struct VersionRow {
    /// Store time since when every version is in the row.
    StoreTimeMs since = 0;
    /// By version: the store time at which the last target of it had gone, or none while there is one.
    std::map<std::string, std::optional<StoreTimeMs>> versions;

    bool operator==(const VersionRow &) const = default;
};

/// The row after a router has seen these versions in the list; `followedMs` is for how long it has followed the list without a gap.
/// Versions that have been gone for ten minutes are dropped. Pure.
VersionRow
updatedVersionRow(const std::optional<VersionRow> &row, const std::set<std::string> &present, StoreTimeMs knownSince, StoreTimeMs now);

std::string toText(const VersionRow &row);

/// Parses the text of a row. Fails with InvalidDocument if it is not valid.
absl::StatusOr<VersionRow> versionRowFrom(std::string_view text);

}
