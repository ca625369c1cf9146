#pragma once

#include "clock/instant.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// A cold target takes few requests a second, whichever routers they come from; beyond, it crashes.
///
/// A router that was admitted sends its request within this time or not at all: one that slept in between would add an old admission to
/// those of a later second.
inline constexpr Duration s_admissionLifetime = std::chrono::milliseconds(300);

/// The span over which admissions are counted: all requests that arrive within any one second were admitted within a second and a lifetime.
inline constexpr Duration s_admissionSpan = std::chrono::seconds(1) + s_admissionLifetime;

/// Admissions for one span at a target that takes this many requests a second.
std::size_t admissionsPerSpan(double requestsPerSecond);

/// Admits requests to the cold target of one host; kept by the relay beside it, which is one where routers are many.
///
/// What holds: the target gets no more than the admissions of a span in any second, whatever gets lost, whoever is cut off or asleep, since
/// a router without an answer sends nothing. A relay that has started knows nothing of earlier admissions and grants none for a span.
/// Without the relay a cold target gets nothing.
///
/// Pure: questions and `now` in.
class WarmupAdmissions
{
public:
    explicit WarmupAdmissions(Instant startedAt);

    /// Whether one more request may go to the life of a target named by this hash.
    bool admit(std::uint64_t target, double requestsPerSecond, Instant now);

private:
    Instant m_startedAt;
    std::uint64_t m_target = 0;
    std::deque<Instant> m_admitted;
};

/// The routers' own way where nobody answers their questions about a target: as many routers as the target takes requests a second, chosen
/// alike by all, each send one in a span; where it takes less than one a second, one router does, in so much longer a time.
///
/// What holds: no more than the admissions of a span in any second as long as routers agree on who lives. One that counts fewer routers
/// than there are may take itself for one of the chosen.
///
/// Pure.
class WarmupShares
{
public:
    explicit WarmupShares(std::string self);

    /// The routers that live, this one included.
    void setRouters(std::span<const std::string> routers);

    /// Whether this router may send one more request to the life of a target.
    bool admit(std::string_view target, double requestsPerSecond, Instant now);

private:
    std::size_t rank(std::string_view target) const;

    std::string m_self;
    std::vector<std::uint64_t> m_others;
    /// When this router may send the next one, by target.
    absl::flat_hash_map<std::string, Instant> m_next;
};

}
