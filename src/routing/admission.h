#pragma once

#include "clock/instant.h"

#include <algorithm>

namespace bamboohold {

/// A router that was admitted sends its request within this time or not at all: one that slept in between would add an old admission to
/// those of a later second.
inline constexpr Duration s_admissionLifetime = std::chrono::milliseconds(300);

/// The span over which admissions are counted: all requests that arrive within any one second were admitted within a second and a lifetime.
inline constexpr Duration s_admissionSpan = std::chrono::seconds(1) + s_admissionLifetime;

/// Why a target takes few requests from all routers together, in requests a second; 0 where it is not for that reason.
struct AdmissionRates {
    double cold = 0;
    double limit = 0;

    bool restricted() const
    {
        return cold > 0 || limit > 0;
    }

    /// The lower of the two; 0 where neither is set.
    double lowest() const
    {
        return cold > 0 && limit > 0 ? std::min(cold, limit) : std::max(cold, limit);
    }
};

/// What was decided about one request.
struct AdmissionDecision {
    bool admitted = false;
    /// How long until the next one may be admitted; zero where it was, or where that is not known.
    Duration wait{};
};

/// What became of a router's question whether it may send a request to a target that takes few.
enum class Admission {
    Granted,
    Denied,
    /// The relay beside the target used to answer, and did not.
    Unanswered,
    /// No relay has ever answered there.
    NoRelay,
};

/// An answer to such a question, and how long until another one is worth asking; zero where that is not known.
struct AdmissionAnswer {
    Admission admission = Admission::NoRelay;
    Duration wait{};
};

}
