#pragma once

#include "inventory/inventory.h"
#include "store/platformclient.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>

namespace bamboohold {

/// The newest accepted version as the platform keeps it.
struct StoredConfiguration {
    std::uint64_t version = 0;
    std::uint64_t headRowVersion = 0;
    std::string changeId;
    std::string author;
    std::optional<Inventory> inventory;
};

/// A change that an operator wants accepted.
struct ConfigurationChange {
    std::string changeId;
    std::string author;
    Inventory inventory;
};

/// Reads the newest accepted version; version 0 when there is none.
asio::awaitable<absl::StatusOr<StoredConfiguration>> newestConfiguration(PlatformClient &platform);

/// Accepts a change over the version it was based on, together with the budgets it creates or tops up, in one transaction. Returns the new
/// version's number. TableConflict names the change that was accepted in between; TableGuard a budget whose reduction its grants do not
/// allow. A lost answer is resolved by the change id, so the same change can be sent again.
asio::awaitable<absl::StatusOr<std::uint64_t>>
acceptConfiguration(PlatformClient &platform, const StoredConfiguration &base, ConfigurationChange change);

}
