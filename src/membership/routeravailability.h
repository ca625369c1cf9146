#pragma once

#include "clock/instant.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

enum class RouterPhase {
    /// Nothing is known, or what was known is out of date.
    Unknown,
    Accepting,
    /// Accepts connections, but refuses requests that would outlast it.
    Stopping,
    /// Accepts no connections until it has been restarted.
    Closed,
};

/// What a router says of itself. All times are durations, as clocks differ between hosts.
struct RouterState {
    std::string failureDomain;
    /// Distinguishes the processes that use one link address one after the other.
    std::uint64_t incarnation = 0;
    /// Increases with each notice of a process.
    std::uint64_t sequence = 0;
    RouterPhase phase = RouterPhase::Unknown;
    /// Since it has accepted callers; since it was asked to stop in the other phases.
    Duration sinceChange{};
    /// The expected time until it accepts again; zero while it accepts.
    Duration untilAccepting{};
    /// It still answers streams that it had when it was asked to stop.
    bool hasEarlierStreams = false;
    /// The receiver is to answer with its own state.
    bool asks = false;
};

/// What a router knows of which other routers accept callers. Pure: notices and `now` in. Bounded by the number of live routers.
///
/// A state is kept for as long as it can be true: that of a stopping router until it was expected back, that of an accepting one for
/// `acceptingLifetime`, because a router that is killed or suspended announces nothing.
class RouterAvailability
{
public:
    struct Options {
        /// The name of this router, by which the others know it.
        std::string self;
        std::string failureDomain;
        Duration acceptingLifetime = std::chrono::milliseconds(3500);
        /// The time from the end of a process until its successor accepts callers, as long as none was observed, and the bounds of what is
        /// observed.
        Duration defaultRestartTime = std::chrono::milliseconds(1500);
        Duration minRestartTime = std::chrono::milliseconds(200);
        Duration maxRestartTime = std::chrono::seconds(10);
        /// Bounds what a malformed notice may state.
        Duration maxStatedTime = std::chrono::seconds(60);
    };

    /// A router as it is expected to be at some time.
    struct Router {
        std::string_view name;
        std::string_view failureDomain;
        RouterPhase phase = RouterPhase::Unknown;
        bool inOwnDomain = false;
        bool hasEarlierStreams = false;
        /// When it began to accept, or was asked to stop.
        Instant changedAt{};
        /// When it is expected to accept again; none if it accepts or nothing is known.
        std::optional<Instant> acceptsAt;
    };

    explicit RouterAvailability(Options options);

    /// Records what a router says. Returns whether its phase is another than before.
    bool recordNotice(const std::string &router, RouterState state, Instant now);

    /// A router of this failure domain is alive; nothing is said about its phase.
    void recordDomain(const std::string &router, const std::string &failureDomain);

    /// Adds the live routers of which nothing is known yet, and forgets those that are not among them and not expected back.
    void setRouters(const std::vector<std::string> &routers, Instant now);

    /// The routers that this one, which stops, asks for their state: those of its own failure domain of which it has heard nothing for
    /// long, and a few of each other domain as long as none of these is known to accept, and of those whose domain is not known. Those that
    /// were asked last come last.
    std::vector<std::string> takeRoutersToAsk(Instant now);

    /// The known routers of this failure domain.
    std::vector<std::string> domainRouters() const;

    /// All other routers that are known, ordered by name.
    std::vector<Router> routers(Instant now) const;

    RouterPhase phase(const std::string &router, Instant now) const;

    /// How many of the known routers are in this phase.
    std::size_t count(RouterPhase phase, Instant now) const;

    /// The expected time from the end of a process until its successor accepts callers.
    Duration restartTime() const;

    const std::string &failureDomain() const
    {
        return m_options.failureDomain;
    }

private:
    struct Entry {
        RouterState state;
        Instant heardAt{};
        std::optional<Instant> askedAt;
        /// Earlier processes at the same address, whose notices may arrive late.
        std::array<std::uint64_t, 2> formerIncarnations{};
    };

    RouterPhase phaseOf(const Entry &entry, Instant now) const;
    /// Whether its state is unknown now, or will be soon unless it is heard again.
    bool fades(const Entry &entry, Instant now) const;
    void recordRestart(const Entry &entry, const RouterState &successor, Instant now);

    Options m_options;
    std::map<std::string, Entry> m_routers;
    std::deque<Duration> m_restarts;
};

}
