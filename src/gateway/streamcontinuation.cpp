#include "gateway/streamcontinuation.h"

#include <algorithm>

namespace bamboohold {

namespace {

/// A caller that takes a stream up may itself have been continuing one, so a stream can last longer than one answer.
constexpr int s_answersPerStream = 2;
constexpr Duration s_minLongestStream = std::chrono::seconds(30);

Continuation nowhere(std::string_view reason)
{
    return {.kind = Continuation::Kind::Nowhere, .reason = reason};
}

/// Where a stream of which no origin is known may go on.
Continuation withoutOrigin(const ContinuationFacts &facts)
{
    if (facts.seen.versions.size() > 1) {
        return nowhere(facts.named ? "its origin is not known" : "the caller names no origin");
    }
    if (!facts.seen.followedFor || *facts.seen.followedFor < facts.longestStream) {
        return nowhere("its origin is not known, nor whether there were other versions");
    }
    if (facts.keepersSilent) {
        return nowhere("its origin is not known, and no relay answers");
    }
    Continuation continuation{.kind = Continuation::Kind::Anywhere, .reason = "the service has had one version only"};
    if (!facts.seen.versions.empty()) {
        continuation.origin.version = facts.seen.versions.front();
    }
    return continuation;
}

}

Continuation decideContinuation(const ContinuationFacts &facts)
{
    if (facts.origins.empty()) {
        return withoutOrigin(facts);
    }
    const StreamOrigin &origin = facts.origins.front().origin;
    const bool agreed = std::ranges::all_of(facts.origins, [&origin](const KnownOrigin &known) {
        return !known.contradictory && known.origin == origin;
    });
    if (!agreed) {
        return nowhere("its origin is contradictory");
    }
    if (origin.version.empty()) {
        return withoutOrigin(facts);
    }
    if (std::ranges::find(facts.services, origin.service) == facts.services.end()) {
        return nowhere("its route does not lead to the service of its origin any more");
    }
    return {.kind = Continuation::Kind::AtOrigin, .origin = origin, .reason = "its origin is known"};
}

Duration longestStream(Duration routeTimeout)
{
    return std::max(s_minLongestStream, s_answersPerStream * routeTimeout);
}

}
