#pragma once

#include "clock/instant.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// What may be repeated of a route's requests.
enum class Repeatability {
    /// May run any number of times.
    Idempotent,
    /// May run once at most.
    AtMostOnce,
    /// Answered by a stream of numbered events; may run once at most, unless the stream can be resumed.
    Stream,
};

/// One service of a split route and its share.
struct ServiceShare {
    std::string service;
    double weight = 1;
};

/// A route: which requests it takes and how they are to be served.
struct Route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    std::vector<ServiceShare> services;
    Repeatability repeatability = Repeatability::AtMostOnce;
    /// The longest time that a caller is kept waiting for the end of an answer.
    Duration timeout = std::chrono::seconds(30);
    /// The time to the answer, or to a stream's first event, that callers expect.
    Duration latencyObjective = std::chrono::seconds(1);
    /// The longest pause within a stream that callers expect.
    Duration eventGapObjective = std::chrono::seconds(1);
    /// 0 is the most urgent.
    int priority = 0;
    /// Targets that one request may run on.
    unsigned maxAttempts = 1;
    /// Open to callers without a team's key.
    bool allowsAnonymous = false;
    /// A broken stream may go on at another target after its last event.
    bool resumable = false;

    /// True when running a request of the route twice does no harm.
    bool repeatable() const
    {
        return repeatability == Repeatability::Idempotent || resumable;
    }
};

/// What all targets of a service have in common.
struct ServicePlan {
    std::string name;
    /// The most tokens that one event of a stream holds; 1 for services without streams.
    Tokens tokensPerEvent = 1;
    /// Requests that a target takes in a second while it is cold; 0: any number.
    double coldRequestsPerSecond = 0;
};

/// A team as the plan states it.
struct TeamPlan {
    std::string name;
    std::vector<std::string> keys;
    /// Takes the place of the route's priority.
    std::optional<int> priority;
    /// Tokens paid for; none: not limited.
    std::optional<Tokens> prepaid;
};

/// What callers may send and how long they may take.
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// An accepted configuration as routing needs it: routes, services, teams and limits of one version. Immutable once built.
class RoutingPlan
{
public:
    struct Content {
        std::uint64_t version = 0;
        std::vector<Route> routes;
        std::vector<ServicePlan> services;
        std::vector<TeamPlan> teams;
        CallerLimits limits;
    };

    explicit RoutingPlan(Content content);

    /// The route with the longest prefix that begins the path, among those of the host; null when there is none.
    const Route *findRoute(std::string_view host, std::string_view path) const;

    /// The team that holds the key; null when nobody does.
    const TeamPlan *findTeamByKey(std::string_view key) const;

    /// True when callers need a key at all.
    bool hasTeams() const
    {
        return !m_content.teams.empty();
    }

    /// The service, or null.
    const ServicePlan *findService(std::string_view name) const;

    const std::vector<TeamPlan> &teams() const
    {
        return m_content.teams;
    }

    const CallerLimits &limits() const
    {
        return m_content.limits;
    }

    std::uint64_t version() const
    {
        return m_content.version;
    }

private:
    Content m_content;
    /// Per host, indices of routes with the longest prefix first.
    absl::flat_hash_map<std::string, std::vector<std::size_t>> m_routesByHost;
    absl::flat_hash_map<std::string, std::size_t> m_teamByKey;
    absl::flat_hash_map<std::string, std::size_t> m_serviceByName;
};

}
