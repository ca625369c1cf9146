#pragma once

#include "inventory/inventory.h"
#include "store/platformclient.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>

namespace bamboohold {

/// The newest accepted version as stored by the platform.
struct StoredConfiguration {
    std::uint64_t version = 0;
    std::uint64_t headRowVersion = 0;
    std::string changeId;
    std::string author;
    std::optional<Inventory> inventory;
};

/// A change that an operator submits for acceptance.
struct ConfigurationChange {
    std::string changeId;
    std::string author;
    Inventory inventory;
};

/// Reads the newest accepted version; its number is 0 if there is none.
asio::awaitable<absl::StatusOr<StoredConfiguration>> newestConfiguration(PlatformClient &platform);

/// Accepts a change based on a version, together with the budgets that it creates or tops up, in one transaction. Returns the number of the
/// new version. Fails with TableConflict, naming the change that was accepted in the meantime, or with TableGuard, naming a budget whose
/// grants do not allow the reduction. A lost answer is resolved by the change id, so the same change can be sent again.
asio::awaitable<absl::StatusOr<std::uint64_t>>
acceptConfiguration(PlatformClient &platform, const StoredConfiguration &base, ConfigurationChange change);

}
