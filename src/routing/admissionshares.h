#pragma once

#include "clock/instant.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// The routers' own way where nobody answers their questions about a target: as many routers as the target takes requests a second, chosen
/// alike by all, each send one in a span; where it takes less than one a second, one router does, in so much longer a time.
///
/// What holds: no more than the admissions of a span in any second as long as routers agree on who lives. One that counts fewer routers
/// than there are may take itself for one of the chosen.
///
/// Pure.
class AdmissionShares
{
public:
    explicit AdmissionShares(std::string self);

    /// The routers that live, this one included.
    void setRouters(std::span<const std::string> routers);

    /// Whether this router may send one more request to the life of a target.
    bool admit(std::string_view target, double requestsPerSecond, Instant now);

private:
    std::size_t rank(std::string_view target) const;

    std::string m_self;
    std::vector<std::uint64_t> m_otherRouterHashes;
    /// When this router may send the next one, by target.
    absl::flat_hash_map<std::string, Instant> m_nextAdmission;
};

}
