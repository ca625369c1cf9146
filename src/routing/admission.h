#pragma once

#include "clock/instant.h"

#include <algorithm>

namespace bamboohold {

/// An admission is valid for this long after the router asked for it. Without a limit, a router that was suspended in between would use an
/// old admission on top of those of a later second.
inline constexpr Duration s_admissionLifetime = std::chrono::milliseconds(300);

/// The period over which admissions are counted. Every request that arrives within a given second was admitted within that second or at
/// most one lifetime before it.
inline constexpr Duration s_admissionSpan = std::chrono::seconds(1) + s_admissionLifetime;

/// The rates, in requests per second, to which a target restricts all routers together; 0 where a restriction does not apply. `cold` is the
/// rate while the target warms up, `limit` the one that it set by itself.
struct AdmissionRates {
    double cold = 0;
    double limit = 0;

    /// True when either rate is set, so that a request needs an admission.
    bool restricted() const
    {
        return cold > 0 || limit > 0;
    }

    /// The lower of the rates that are set; 0 when neither is.
    double lowest() const
    {
        return cold > 0 && limit > 0 ? std::min(cold, limit) : std::max(cold, limit);
    }
};

/// The decision on one request.
struct AdmissionDecision {
    bool admitted = false;
    /// Time until the next request can be admitted; zero when this one was admitted, or when the time is unknown.
    Duration wait{};
};

/// Result of a router's query whether it may send a request to a restricted target.
enum class Admission {
    Granted,
    Denied,
    /// The relay beside the target has answered before, but not this time.
    Unanswered,
    /// No relay has ever answered at that address.
    NoRelay,
};

/// The result of an admission query, and the time to wait before the next one; zero when that is unknown.
struct AdmissionAnswer {
    Admission admission = Admission::NoRelay;
    Duration wait{};
};

}
