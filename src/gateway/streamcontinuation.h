#pragma once

#include "clock/instant.h"
#include "gateway/targetbalancer.h"
#include "routing/streamoriginstore.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// What a router knows when a stream that has begun elsewhere is to go on.
struct ContinuationFacts {
    /// The caller has named the request that began the stream.
    bool named = false;
    /// What this router and the keepers of the stream know about its beginning.
    std::vector<KnownOrigin> origins;
    /// No keeper has answered, although some have answered other queries before: this router may be cut off.
    bool keepersSilent = false;
    /// The services that the stream may have begun at.
    std::span<const std::string> services;
    /// The versions that the service had in the longest time that the stream may have taken, and how long that is.
    TargetBalancer::SeenVersions seen;
    Duration longestStream{};
};

/// Where a stream may go on.
struct Continuation {
    enum class Kind {
        /// At targets of the version of its origin.
        AtOrigin,
        /// At any target that the list has now, since the service has had one version only.
        Anywhere,
        /// Nowhere, since the version that began it is not known.
        Nowhere,
    };

    Kind kind = Kind::Nowhere;
    /// The service is empty where the origin is not known. An empty version stands for targets that state none.
    StreamOrigin origin;
    /// Why, for logs.
    std::string_view reason;
};

/// Decides where a stream may go on. Pure. Events of two software versions do not fit together, and targets do not check this, so what is
/// not known is not guessed.
Continuation decideContinuation(const ContinuationFacts &facts);

/// The period for which the versions of a service have to be known to tell that a stream began at one of them, given the longest time that
/// its route allows an answer to take.
Duration longestStream(Duration routeTimeout);

}
