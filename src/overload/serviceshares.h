#pragma once

#include "clock/instant.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace bamboohold {

/// Keeps for each team, route and size of requests how many of its requests were asked and served lately, and decides which request must
/// not be refused because of load lest one of them gets far less than all. Pure: events and `now` in.
///
/// A group is entitled to `floor` of the share that all requests get, over two seconds and over ten. A request of a group below it is
/// promised at arrival: the promise counts as served at once, so that no more is promised than is missing, and is taken back if the
/// request is refused nevertheless.
class ServiceShares
{
public:
    struct Options {
        /// The part of the share of all that each group is entitled to. Above a quarter, since each router sees only its own requests, what
        /// was asked before an overload still counts for some seconds, and a promise is kept only if a target has capacity in time.
        double floor = 0.35;
        /// Time constant of the decay of what was asked and served.
        Duration memory = std::chrono::seconds(2);
        /// Nothing is promised while more than this share of all is served, or when nothing has been refused for `memory`.
        double calmShare = 0.97;
        /// The part of what is served that may be promised before a fraction of a request is promised by chance instead of as a whole.
        /// With many rare teams a whole one to each would leave nothing to the most urgent.
        double mostRoundedUp = 0.35;
        /// Groups that are kept; those that asked least lately are dropped.
        std::size_t maxGroups = 4096;
        /// A team is reported as short below this part of the share of all, at most this often, if it asked this many within about ten
        /// seconds.
        double shortPart = 0.25;
        Duration reportInterval = std::chrono::seconds(10);
        double minReported = 5;
    };

    /// What is known of a request when it arrives. Requests without a team or without tokens belong to fewer groups.
    struct Request {
        std::string_view service;
        std::string_view team;
        std::string_view route;
        Tokens tokens = 0;
        /// Any evenly distributed value of the request.
        std::uint64_t hash = 0;
    };

    /// A request that was counted.
    struct Place {
        std::array<std::uint64_t, 4> groups{};
        Instant arrived{};
        /// When it was counted as served; none if it is not.
        std::optional<Instant> servedAt;
        /// It must not be refused because of load.
        bool isPromised = false;
    };

    /// A team that is short of service: what it asked and got within about ten seconds, the share of all, and the most frequent reason for
    /// which its requests are refused.
    struct Shortage {
        double asked = 0;
        double served = 0;
        double share = 0;
        double shareOfAll = 0;
        std::string_view reason;
    };

    ServiceShares();
    explicit ServiceShares(Options options);

    /// Counts an arriving request.
    Place arrive(const Request &request, Instant now);

    /// The request was sent to a target.
    void dispatched(Place &place, Instant now);

    /// The request was refused because of load, or was declined by its target. `reason` must outlive this object. Returns whether its team
    /// is short of service, seldom.
    std::optional<Shortage> refused(Place &place, std::string_view reason, Instant now);

    /// The request ended without having been served or refused because of load; it counts as not asked.
    void withdraw(Place &place, Instant now);

    /// The number of groups that are kept.
    std::size_t size() const
    {
        return m_groups.size();
    }

private:
    /// Decayed counts. Those over ten seconds tell what rare groups get.
    struct Group {
        double asked = 0;
        double served = 0;
        double askedLonger = 0;
        double servedLonger = 0;
        Instant updatedAt{};
        std::optional<Instant> reportedAt;
        /// The reason that prevails among the latest refusals, and by how many.
        std::string_view reason;
        int reasonLead = 0;

        double share() const;
        double longerShare() const;
        /// Whether it gets less than the floor. `rounding` is the fraction of a request that is not promised.
        bool isBelow(double floor, double longerFloor, double rounding) const;
    };

    static void decay(Group &group, Duration memory, Instant now);
    Group &group(std::uint64_t key, Instant now);
    void evict(Instant now);
    void addServed(Place &place, double sign, Instant since, Instant now);

    Options m_options;
    absl::flat_hash_map<std::uint64_t, Group> m_groups;
    Group m_all;
    /// What was promised, as served.
    Group m_promised;
    std::optional<Instant> m_refusedAt;
};

}
