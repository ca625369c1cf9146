#pragma once

#include "clock/instant.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bamboohold {

/// Decides when a host asks the load balancer to send its callers to other hosts. At most a third of what a failure domain's hosts can
/// carry leaves at a time, and no more than half of them, since the balancer uses all hosts again once fewer than half are left; each
/// router tells the others when it leaves and returns.
/// Of the hosts that are out, one that is idle returns so that a full one may leave. Pure: pressures, notices of other routers and `now`
/// in.
class Rotation
{
public:
    struct Options {
        /// The name of this router, by which the others know it.
        std::string self;
        /// What this host can carry, in a unit that all hosts share.
        double capacity = 1;
        /// The host leaves once its pressure has been at least `leavePressure` for `fullTime`.
        double leavePressure = 1;
        Duration fullTime = std::chrono::milliseconds(300);
        /// It returns after its period if the pressure is below this.
        double returnPressure = 0.5;
        /// The period out of rotation doubles if the host leaves again within `maxPeriod` of its return, up to `maxPeriod`. Each return to
        /// a caller that still fills the host costs its callers the two seconds until the load balancer has moved them again.
        Duration firstPeriod = std::chrono::seconds(16);
        Duration maxPeriod = std::chrono::seconds(60);
        /// While it is out, the other routers are told this often.
        Duration noticeInterval = std::chrono::seconds(1);
        /// A notice without a successor counts for this long: two notices may be lost.
        Duration noticeLifetime = std::chrono::milliseconds(3500);
        /// Routers that leave at the same moment do not know of each other. Within this time the load balancer has not taken them out yet,
        /// and those that are too many return, the last by name first.
        Duration settlingTime = std::chrono::milliseconds(900);
    };

    enum class Change {
        None,
        Left,
        Joined,
        /// The host would leave, but too many others are out already. Reported once until the pressure falls.
        KeptIn,
    };

    /// What another router of this failure domain says of itself.
    struct Notice {
        bool out = false;
        Duration remaining{};
        double capacity = 1;
        /// Its host is full, whether or not it is out.
        bool full = false;
    };

    struct Update {
        Change change = Change::None;
        /// The other routers of the domain are to be told the state now.
        bool notify = false;
    };

    Rotation();
    explicit Rotation(Options options);

    /// Sets the current pressure. Call at least every 100 ms.
    Update update(double pressure, Instant now);

    /// Another router of this failure domain states what it is.
    void recordNotice(const std::string &router, const Notice &notice, Instant now);

    /// Another router of this failure domain is out of rotation for `remaining`, or in rotation.
    void recordNotice(const std::string &router, bool out, Duration remaining, Instant now)
    {
        recordNotice(router, {.out = out, .remaining = remaining}, now);
    }

    /// Another router of this failure domain is not alive any more.
    void removeRouter(const std::string &router);

    /// The other routers that are known to belong to this failure domain.
    std::vector<std::string> others() const;

    /// Whether this host is out of rotation.
    bool out() const
    {
        return m_out;
    }

    /// The time until the end of the period out of rotation; zero in rotation, or when it has passed.
    Duration remaining(Instant now) const;

    /// The time since the host left the rotation; none while it is in.
    std::optional<Duration> outFor(Instant now) const;

    /// Whether this host has been full for some time.
    bool full() const
    {
        return m_full;
    }

    double capacity() const
    {
        return m_options.capacity;
    }

    /// The number of other routers of the domain that are out now, and the most that may be out including this one.
    std::size_t othersOut(Instant now) const;
    std::size_t mostOut() const;

private:
    struct Other {
        /// Until when it is out of rotation, and until when it is full by its latest notice; times in the past if it is not.
        Instant outUntil{};
        Instant fullUntil{};
        double capacity = 1;
    };

    void leave(Instant now);
    /// Whether this host may leave besides `others` that are out.
    bool mayLeaveBeside(std::size_t others, double othersCapacity) const;
    bool mayLeave(Instant now) const;
    /// Whether this host, which is idle, returns so that a full one that is in may leave. The first by name does.
    bool returnsForFullOne(double pressure, Instant now) const;
    /// Whether this host left at the same time as others, and is one of those that are too many.
    bool leftTooMany(Instant now) const;

    Options m_options;
    bool m_out = false;
    bool m_keptIn = false;
    bool m_full = false;
    std::optional<Instant> m_fullSince;
    Instant m_leftAt{};
    Duration m_period{};
    std::optional<Instant> m_joinedAt;
    Instant m_notifiedAt{};
    /// The other routers of the domain.
    std::map<std::string, Other> m_others;
    /// Those that were out when this router left.
    std::set<std::string> m_outBefore;
};

}
