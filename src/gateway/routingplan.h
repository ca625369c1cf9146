#pragma once

#include "clock/instant.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// How often a request of a route may be run.
enum class Repeatability {
    /// Any number of times.
    Idempotent,
    /// Once at most.
    AtMostOnce,
    /// Once at most, unless the stream can be resumed. The answer is a stream of numbered events.
    Stream,
};

/// A service among which a route's requests are split, and its share.
struct ServiceShare {
    std::string service;
    double weight = 1;
};

/// Selects requests by host and path prefix, and says how they are served.
struct Route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    std::vector<ServiceShare> services;
    Repeatability repeatability = Repeatability::AtMostOnce;
    /// The longest time to the end of an answer.
    Duration timeout = std::chrono::seconds(30);
    /// The time in which callers expect an answer, or the first event of a stream.
    Duration latencyObjective = std::chrono::seconds(1);
    /// The longest time between two events of a stream that callers expect.
    Duration eventGapObjective = std::chrono::seconds(1);
    /// 0 is the most urgent.
    int priority = 0;
    /// Targets that one request may run on.
    unsigned maxAttempts = 1;
    /// Callers without a team's key may use the route.
    bool allowsAnonymous = false;
    /// A broken stream may continue at another target after its last event.
    bool resumable = false;

    /// True when a request of the route may safely be run twice.
    bool repeatable() const
    {
        return repeatability == Repeatability::Idempotent || resumable;
    }
};

/// Properties that all targets of a service share.
struct ServicePlan {
    std::string name;
    /// The most tokens that one event of a stream holds; 1 for services without streams.
    Tokens tokensPerEvent = 1;
    /// Requests per second that a cold target accepts; 0: any number.
    double coldRequestsPerSecond = 0;
};

/// The rank of a priority among those that the configuration gives the routes of one service.
struct Urgency {
    /// 0 is the most urgent.
    std::size_t rank = 0;
    /// The number of ranks; 1 for a service whose routes all have the same priority.
    std::size_t ranks = 1;

    bool operator==(const Urgency &) const = default;
};

/// A team as the configuration defines it.
struct TeamPlan {
    std::string name;
    std::vector<std::string> keys;
    /// Overrides the route's priority.
    std::optional<int> priority;
    /// Prepaid tokens; none: not limited.
    std::optional<Tokens> prepaid;
};

/// Bounds on the size and the duration of callers' requests.
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// One version of the configuration, indexed for routing: routes, services, teams and limits. Immutable once built.
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

    /// The route of the host with the longest prefix that the path begins with; null when no route matches.
    const Route *findRoute(std::string_view host, std::string_view path) const;

    /// The team that owns the key; null when the key is not known.
    const TeamPlan *findTeamByKey(std::string_view key) const;

    /// True when the configuration defines teams, so that callers need a key.
    bool hasTeams() const
    {
        return !m_content.teams.empty();
    }

    /// The service of that name; null when it is not known.
    const ServicePlan *findService(std::string_view name) const;

    /// The rank of a priority among the routes of the service. A priority between two ranks gets the less urgent of them, and one below all
    /// ranks the last.
    Urgency urgency(std::string_view service, int priority) const;

    /// The shortest objective among the routes of the service of this rank or a more urgent one. Less urgent requests must leave room for
    /// requests that expect an answer sooner.
    Duration strictestObjective(std::string_view service, const Urgency &urgency) const;

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
    /// Indices of each host's routes, the longest prefix first.
    absl::flat_hash_map<std::string, std::vector<std::size_t>> m_routesByHost;
    absl::flat_hash_map<std::string, std::size_t> m_teamByKey;
    absl::flat_hash_map<std::string, std::size_t> m_serviceByName;
    /// The different priorities of each service's routes, the most urgent first.
    absl::flat_hash_map<std::string, std::vector<int>> m_prioritiesByService;
    /// By service, the shortest objective of its routes of each rank and the more urgent ones.
    absl::flat_hash_map<std::string, std::vector<Duration>> m_objectivesByService;
};

}
