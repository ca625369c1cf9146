#include "gateway/routingplan.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace bamboohold {

namespace {

/// The form in which hosts are compared: lower case, without a port.
std::string hostKey(std::string_view host)
{
    return absl::AsciiStrToLower(std::string(host.substr(0, host.find(':'))));
}

}

RoutingPlan::RoutingPlan(Content content)
    : m_content(std::move(content))
{
    for (std::size_t index = 0; index < m_content.routes.size(); ++index) {
        m_routesByHost[hostKey(m_content.routes[index].host)].push_back(index);
    }
    const auto longer = [this](std::size_t left, std::size_t right) {
        return m_content.routes[left].prefix.size() > m_content.routes[right].prefix.size();
    };
    for (auto &[host, routes] : m_routesByHost) {
        std::ranges::stable_sort(routes, longer);
    }
    for (const Route &route : m_content.routes) {
        for (const ServiceShare &share : route.services) {
            m_prioritiesByService[share.service].push_back(route.priority);
        }
    }
    for (auto &[service, priorities] : m_prioritiesByService) {
        std::ranges::sort(priorities);
        priorities.erase(std::unique(priorities.begin(), priorities.end()), priorities.end());
    }
    for (const Route &route : m_content.routes) {
        for (const ServiceShare &share : route.services) {
            const Urgency urgency = this->urgency(share.service, route.priority);
            std::vector<Duration> &objectives = m_objectivesByService[share.service];
            objectives.resize(urgency.ranks, Duration::max());
            for (std::size_t rank = urgency.rank; rank < urgency.ranks && route.latencyObjective > Duration::zero(); ++rank) {
                objectives[rank] = std::min(objectives[rank], route.latencyObjective);
            }
        }
    }
    for (std::size_t index = 0; index < m_content.teams.size(); ++index) {
        for (const std::string &key : m_content.teams[index].keys) {
            m_teamByKey[key] = index;
        }
    }
    for (std::size_t index = 0; index < m_content.services.size(); ++index) {
        m_serviceByName[m_content.services[index].name] = index;
    }
}

const Route *RoutingPlan::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = m_routesByHost.find(hostKey(host));
    if (found == m_routesByHost.end()) {
        return nullptr;
    }
    for (const std::size_t index : found->second) {
        if (path.starts_with(m_content.routes[index].prefix)) {
            return &m_content.routes[index];
        }
    }
    return nullptr;
}

const TeamPlan *RoutingPlan::findTeamByKey(std::string_view key) const
{
    const auto found = m_teamByKey.find(std::string(key));
    return found == m_teamByKey.end() ? nullptr : &m_content.teams[found->second];
}

Urgency RoutingPlan::urgency(std::string_view service, int priority) const
{
    const auto found = m_prioritiesByService.find(std::string(service));
    if (found == m_prioritiesByService.end()) {
        return {};
    }
    const std::vector<int> &priorities = found->second;
    const auto rank = static_cast<std::size_t>(std::ranges::lower_bound(priorities, priority) - priorities.begin());
    return {.rank = std::min(rank, priorities.size() - 1), .ranks = priorities.size()};
}

Duration RoutingPlan::strictestObjective(std::string_view service, const Urgency &urgency) const
{
    const auto found = m_objectivesByService.find(std::string(service));
    return found == m_objectivesByService.end() || urgency.rank >= found->second.size() ? Duration::max() : found->second[urgency.rank];
}

const ServicePlan *RoutingPlan::findService(std::string_view name) const
{
    const auto found = m_serviceByName.find(std::string(name));
    return found == m_serviceByName.end() ? nullptr : &m_content.services[found->second];
}

}
