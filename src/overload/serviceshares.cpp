#include "overload/serviceshares.h"

#include "routing/stablehash.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <vector>

namespace bamboohold {

namespace {

constexpr Duration s_longerMemory = std::chrono::seconds(10);
/// A group that asked fewer lately is judged by what it got over the longer time as well.
constexpr double s_fewAsked = 4;
/// Groups that asked less lately are dropped first.
constexpr double s_forgotten = 0.02;

enum GroupIndex : std::size_t {
    ServiceGroup,
    TeamGroup,
    RouteGroup,
    SizeGroup,
};

/// Distinguishes groups of different kinds with the same name. 0 is no group.
std::uint64_t groupKey(GroupIndex index, std::string_view name, std::uint64_t detail = 0)
{
    return name.empty() ? 0 : mixed(stableHash(name) + (detail << 3U) + index) | 1U;
}

double evenlyDistributed(std::uint64_t hash)
{
    constexpr std::uint64_t steps = 1'000'000;
    return static_cast<double>(mixed(hash) % steps) / static_cast<double>(steps);
}

double remaining(Duration elapsed, Duration memory)
{
    return std::exp(-seconds(std::max(Duration::zero(), elapsed)) / seconds(memory));
}

}

double ServiceShares::Group::share() const
{
    return asked > 0 ? std::min(1.0, served / asked) : 1;
}

double ServiceShares::Group::longerShare() const
{
    return askedLonger > 0 ? std::min(1.0, servedLonger / askedLonger) : 1;
}

bool ServiceShares::Group::isBelow(double floor, double longerFloor, double rounding) const
{
    return served + rounding < floor * asked || (asked < s_fewAsked && servedLonger + rounding < longerFloor * askedLonger);
}

ServiceShares::ServiceShares()
    : ServiceShares(Options{})
{
}

ServiceShares::ServiceShares(Options options)
    : m_options(options)
{
}

void ServiceShares::decay(Group &group, Duration memory, Instant now)
{
    const Duration elapsed = now - group.updatedAt;
    const double recent = remaining(elapsed, memory);
    const double longer = remaining(elapsed, s_longerMemory);
    group.asked *= recent;
    group.served *= recent;
    group.askedLonger *= longer;
    group.servedLonger *= longer;
    group.updatedAt = std::max(group.updatedAt, now);
}

ServiceShares::Group &ServiceShares::group(std::uint64_t key, Instant now)
{
    if (m_groups.size() >= m_options.maxGroups && !m_groups.contains(key)) {
        evict(now);
    }
    Group &found = m_groups.try_emplace(key, Group{.updatedAt = now}).first->second;
    decay(found, m_options.memory, now);
    return found;
}

void ServiceShares::evict(Instant now)
{
    std::vector<double> asked;
    asked.reserve(m_groups.size());
    for (auto &[key, group] : m_groups) {
        decay(group, m_options.memory, now);
        asked.push_back(group.asked);
    }
    // A quarter at a time, so that the cost is a few operations a request.
    const auto quarter = asked.begin() + static_cast<std::ptrdiff_t>(asked.size() / 4);
    std::ranges::nth_element(asked, quarter);
    const double limit = std::max(s_forgotten, *quarter);
    absl::erase_if(m_groups, [limit](const auto &entry) {
        return entry.second.asked <= limit;
    });
}

ServiceShares::Place ServiceShares::arrive(const Request &request, Instant now)
{
    Place place{.arrived = now};
    const auto octave = static_cast<std::uint64_t>(std::bit_width(static_cast<std::uint64_t>(std::max<Tokens>(0, request.tokens))));
    place.groups[ServiceGroup] = groupKey(ServiceGroup, request.service);
    place.groups[TeamGroup] = groupKey(TeamGroup, request.team);
    place.groups[RouteGroup] = groupKey(RouteGroup, request.route);
    place.groups[SizeGroup] = octave > 0 ? groupKey(SizeGroup, request.route, octave) : 0;
    decay(m_all, m_options.memory, now);
    decay(m_promised, m_options.memory, now);
    const double ofAll = m_all.share();
    const double ofService = place.groups[ServiceGroup] != 0 ? group(place.groups[ServiceGroup], now).share() : ofAll;
    // Where its service serves less than others do, a group is entitled to a part of what its service serves.
    const double floor = m_options.floor * std::min(ofAll, ofService);
    // After an overload the longer time still holds what was refused then, of all as of this group.
    const double longerFloor = std::min(floor, m_options.floor * m_all.longerShare());
    const bool roundsUp = m_promised.served < m_options.mostRoundedUp * m_all.served;
    const double rounding = roundsUp ? 0 : evenlyDistributed(request.hash);
    bool below = false;
    for (std::size_t index = 0; index < place.groups.size(); ++index) {
        if (place.groups.at(index) == 0) {
            continue;
        }
        Group &own = group(place.groups.at(index), now);
        own.asked += 1;
        own.askedLonger += 1;
        if (index != ServiceGroup) {
            below = below || own.isBelow(floor, longerFloor, rounding);
        }
    }
    m_all.asked += 1;
    m_all.askedLonger += 1;
    const bool refusing = m_refusedAt && now - *m_refusedAt < m_options.memory;
    place.isPromised = below && refusing && std::min(ofAll, ofService) < m_options.calmShare;
    if (place.isPromised) {
        addServed(place, 1, now, now);
    }
    return place;
}

void ServiceShares::addServed(Place &place, double sign, Instant since, Instant now)
{
    const double weight = sign * remaining(now - since, m_options.memory);
    const double longer = sign * remaining(now - since, s_longerMemory);
    const auto add = [weight, longer](Group &own) {
        own.served = std::max(0.0, own.served + weight);
        own.servedLonger = std::max(0.0, own.servedLonger + longer);
    };
    for (const std::uint64_t key : place.groups) {
        if (key != 0) {
            add(group(key, now));
        }
    }
    decay(m_all, m_options.memory, now);
    add(m_all);
    if (place.isPromised) {
        decay(m_promised, m_options.memory, now);
        add(m_promised);
    }
    place.servedAt = sign > 0 ? std::optional(now) : std::nullopt;
}

void ServiceShares::dispatched(Place &place, Instant now)
{
    if (!place.servedAt) {
        addServed(place, 1, now, now);
    }
}

std::optional<ServiceShares::Shortage> ServiceShares::refused(Place &place, std::string_view reason, Instant now)
{
    if (place.servedAt) {
        addServed(place, -1, *place.servedAt, now);
    }
    m_refusedAt = now;
    if (place.groups[TeamGroup] == 0) {
        return std::nullopt;
    }
    Group &team = group(place.groups[TeamGroup], now);
    if (team.reason == reason) {
        ++team.reasonLead;
    } else if (--team.reasonLead < 0) {
        team.reason = reason;
        team.reasonLead = 1;
    }
    decay(m_all, m_options.memory, now);
    const double share = team.longerShare();
    const double shareOfAll = m_all.longerShare();
    const bool due = !team.reportedAt || now - *team.reportedAt >= m_options.reportInterval;
    if (!due || team.askedLonger < m_options.minReported || share >= m_options.shortPart * shareOfAll) {
        return std::nullopt;
    }
    team.reportedAt = now;
    return Shortage{
        .asked = team.askedLonger, .served = team.servedLonger, .share = share, .shareOfAll = shareOfAll, .reason = team.reason};
}

void ServiceShares::withdraw(Place &place, Instant now)
{
    if (place.servedAt) {
        addServed(place, -1, *place.servedAt, now);
    }
    const double weight = remaining(now - place.arrived, m_options.memory);
    const double longer = remaining(now - place.arrived, s_longerMemory);
    const auto subtract = [weight, longer](Group &own) {
        own.asked = std::max(0.0, own.asked - weight);
        own.askedLonger = std::max(0.0, own.askedLonger - longer);
    };
    for (std::uint64_t &key : place.groups) {
        if (key != 0) {
            subtract(group(key, now));
        }
        key = 0;
    }
    decay(m_all, m_options.memory, now);
    subtract(m_all);
}

}
