#include "membership/versionrow.h"

#include "failure/failure.h"
#include "link/link.pb.h"

namespace bamboohold {

namespace {

constexpr StoreTimeMs s_goneRetentionMs = 600'000;

}

VersionRow
updatedVersionRow(const std::optional<VersionRow> &row, const std::set<std::string> &present, StoreTimeMs knownSince, StoreTimeMs now)
{
    VersionRow updated = row.value_or(VersionRow{.since = knownSince});
    for (const std::string &version : present) {
        updated.versions[version] = std::nullopt;
    }
    for (auto &[version, goneAt] : updated.versions) {
        if (!goneAt && !present.contains(version)) {
            goneAt = now;
        }
    }
    std::erase_if(updated.versions, [now](const auto &entry) {
        return entry.second && now - *entry.second > s_goneRetentionMs;
    });
    return updated;
}

std::string toText(const VersionRow &row)
{
    wire::VersionRow message;
    message.set_since_ms(row.since);
    for (const auto &[version, goneAt] : row.versions) {
        wire::VersionRow::Entry &entry = *message.add_versions();
        entry.set_version(version);
        if (goneAt) {
            entry.set_gone_at_ms(*goneAt);
        }
    }
    return message.SerializeAsString();
}

absl::StatusOr<VersionRow> versionRowFrom(std::string_view text)
{
    wire::VersionRow message;
    if (!message.ParseFromArray(text.data(), static_cast<int>(text.size()))) {
        return failed(FailureKind::InvalidDocument, "the row of a service's versions cannot be parsed");
    }
    VersionRow row{.since = message.since_ms()};
    for (const wire::VersionRow::Entry &entry : message.versions()) {
        std::optional<StoreTimeMs> &goneAt = row.versions[entry.version()];
        goneAt = entry.has_gone_at_ms() ? std::optional<StoreTimeMs>(entry.gone_at_ms()) : std::nullopt;
    }
    return row;
}

}
