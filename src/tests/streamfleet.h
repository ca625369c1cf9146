#pragma once

#include "gateway/streamcontinuation.h"
#include "gateway/targetbalancer.h"
#include "membership/versionrow.h"
#include "routing/streamorigin.h"
#include "routing/streamoriginstore.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bamboohold {

/// The decisions of several routers and relays about streams, without a network: a list of targets of several versions, of which routers
/// see each change unless they are cut off, streams that begin, break and are taken up, and datagrams that get lost. A router that is cut
/// off knows it at once.
class StreamFleet
{
public:
    struct Options {
        std::size_t routers = 3;
        int lossPercent = 0;
        std::uint32_t seed = 0;
        /// Routers write changed versions to the store within this time; 0: at once. Targets serve for this long at least.
        int versionsWrittenWithinMs = 0;
    };

    enum class Event {
        StreamBegins,
        StreamGoesOnWithinItsAnswer,
        CallerTakesStreamUp,
        TargetAppears,
        TargetLeaves,
        TargetAppearsWithoutAVersion,
        RouterRestarts,
        AllRoutersAreKilled,
        OldestVersionLeaves,
        RouterLosesTheStore,
        RouterIsCutOff,
        RouterIsBack,
        RelayRestarts,
    };

    static std::vector<Event> allEvents();
    /// Those after which streams can go on: all routers follow the list, no relay forgets anything, and targets state their versions.
    static std::vector<Event> calmEvents();
    /// All events, and often the death of all routers around the end of a version.
    static std::vector<Event> releaseEvents();

    explicit StreamFleet(Options options);

    void advance(int milliseconds);
    void apply(Event event);

    /// Streams with events of targets of two versions.
    std::size_t mixedStreams() const
    {
        return m_mixed;
    }

    /// Streams that callers took up while a target of their version served, and those of them that were refused.
    std::size_t takenUp() const
    {
        return m_takenUp;
    }
    std::size_t refused() const
    {
        return m_refused;
    }

private:
    struct Target {
        TargetListing listing;
        StreamOriginStore relay;
        Instant appearedAt{};
    };

    struct Router {
        std::unique_ptr<TargetBalancer> board;
        StreamOriginStore own;
        bool followsStore = true;
        bool reachesRelays = true;
        /// Since when it had followed the list, and the versions in it, when it last read and wrote the versions in the store.
        std::optional<Instant> syncedSince;
        std::map<std::string, std::set<std::string>> synced;
        /// When it writes the versions that have changed since.
        std::optional<Instant> writesAt;
    };

    struct Stream {
        std::uint64_t key = 0;
        std::string version;
        /// The router that answers; none once it has restarted.
        std::optional<std::size_t> router;
        Instant begunAt{};
        /// The version as that router knows it; empty when it does not.
        std::string known;
    };

    std::size_t draw(std::size_t below);
    bool lost();
    Router &anyRouter();
    void start(Router &router);
    void list(const Target &target);
    void appear(bool statesVersion = true);
    void begin();
    void goOnWithin(Stream &stream);
    void takeUp(Stream &stream);
    void serve(const Stream &stream, const Router &router, const std::string &version);
    void restart(Router &router);
    /// Every router dies and starts again, those that are cut off as well.
    void killAll();
    /// Removes the target from the list, with the relay beside it.
    void leave(const std::string &incarnation);
    bool mayLeave(const Target &target) const;
    /// Every target of the version that has been in the list for longest leaves.
    void endOldestVersion();
    void synchroniseWhereDue();
    void readList(Router &router);
    /// Brings the versions in the store up to date, and tells the router.
    void synchroniseVersions(Router &router);
    std::vector<std::string> keepers(const Router &router, std::uint64_t key, std::size_t most) const;

    Options m_options;
    std::mt19937 m_random;
    Instant m_now = Instant(std::chrono::hours(1));
    std::map<std::string, Target> m_targets;
    std::vector<Router> m_routers;
    std::vector<Stream> m_streams;
    /// The versions in the store.
    std::optional<VersionRow> m_row;
    std::uint64_t m_next = 0;
    std::size_t m_mixed = 0;
    std::size_t m_takenUp = 0;
    std::size_t m_refused = 0;
};

}
