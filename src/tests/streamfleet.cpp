#include "tests/streamfleet.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace bamboohold {

namespace {

const std::string s_service = "drafting";
constexpr Duration s_routeTimeout = std::chrono::seconds(15);
/// Streams older than this are not taken up any more.
constexpr Duration s_callersWait = std::chrono::seconds(15);
constexpr std::size_t s_versions = 3;
constexpr std::size_t s_maxTargets = 8;
constexpr std::size_t s_keepersTold = 2;
constexpr std::size_t s_keepersAsked = 4;

}

std::vector<StreamFleet::Event> StreamFleet::allEvents()
{
    return {Event::StreamBegins,
            Event::StreamBegins,
            Event::StreamGoesOnWithinItsAnswer,
            Event::CallerTakesStreamUp,
            Event::CallerTakesStreamUp,
            Event::TargetAppears,
            Event::TargetLeaves,
            Event::TargetAppearsWithoutAVersion,
            Event::RouterRestarts,
            Event::RouterLosesTheStore,
            Event::RouterIsCutOff,
            Event::RouterIsBack,
            Event::RelayRestarts};
}

std::vector<StreamFleet::Event> StreamFleet::calmEvents()
{
    return {Event::StreamBegins,
            Event::StreamBegins,
            Event::StreamGoesOnWithinItsAnswer,
            Event::CallerTakesStreamUp,
            Event::CallerTakesStreamUp,
            Event::TargetAppears,
            Event::RouterRestarts};
}

std::vector<StreamFleet::Event> StreamFleet::releaseEvents()
{
    std::vector<Event> events = allEvents();
    events.insert(events.end(),
                  {Event::AllRoutersAreKilled,
                   Event::AllRoutersAreKilled,
                   Event::OldestVersionLeaves,
                   Event::TargetAppears,
                   Event::CallerTakesStreamUp,
                   Event::CallerTakesStreamUp});
    return events;
}

StreamFleet::StreamFleet(Options options)
    : m_options(options)
    , m_random(options.seed)
    , m_routers(options.routers)
{
    for (Router &router : m_routers) {
        start(router);
    }
    appear();
    appear();
}

std::size_t StreamFleet::draw(std::size_t below)
{
    return std::uniform_int_distribution<std::size_t>(0, below - 1)(m_random);
}

bool StreamFleet::lost()
{
    return static_cast<int>(draw(100)) < m_options.lossPercent;
}

StreamFleet::Router &StreamFleet::anyRouter()
{
    return m_routers[draw(m_routers.size())];
}

void StreamFleet::advance(int milliseconds)
{
    m_now += std::chrono::milliseconds(milliseconds);
    synchroniseWhereDue();
    std::erase_if(m_streams, [this](const Stream &stream) {
        return m_now - stream.begunAt > s_callersWait;
    });
}

void StreamFleet::readList(Router &router)
{
    std::vector<TargetListing> listings;
    for (const auto &[incarnation, target] : m_targets) {
        listings.push_back(target.listing);
    }
    router.board->replaceAll(std::move(listings), m_now);
}

void StreamFleet::synchroniseVersions(Router &router)
{
    const auto storeTime = [this](Instant at) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count();
    };
    const std::optional<Instant> followedSince = router.board->followedSince();
    if (!router.followsStore || !followedSince || router.board->listedVersions().empty()) {
        return;
    }
    const std::set<std::string> present = router.board->listedVersions().at(s_service);
    m_row = updatedVersionRow(m_row, present, storeTime(*followedSince), storeTime(m_now));
    std::map<std::string, Instant> former;
    for (const auto &[version, goneAt] : m_row->versions) {
        former.emplace(version, goneAt ? Instant(std::chrono::milliseconds(*goneAt)) : m_now);
    }
    router.board->addFormerVersions(s_service, former, Instant(std::chrono::milliseconds(m_row->since)));
}

void StreamFleet::synchroniseWhereDue()
{
    for (Router &router : m_routers) {
        const std::optional<Instant> followedSince = router.board->followedSince();
        const bool afterGap = router.syncedSince != followedSince;
        const bool changed = router.synced != router.board->listedVersions();
        if (!router.followsStore || !followedSince || (!afterGap && !changed)) {
            continue;
        }
        if (!router.writesAt) {
            const std::size_t latest = static_cast<std::size_t>(m_options.versionsWrittenWithinMs) + 1;
            router.writesAt = m_now + std::chrono::milliseconds(draw(latest));
        }
        if (afterGap || *router.writesAt <= m_now) {
            synchroniseVersions(router);
            router.syncedSince = followedSince;
            router.synced = router.board->listedVersions();
            router.writesAt.reset();
        }
    }
}

void StreamFleet::start(Router &router)
{
    router.board = std::make_unique<TargetBalancer>(TargetOptions{});
    router.own = {};
    router.syncedSince.reset();
    router.synced.clear();
    router.writesAt.reset();
    if (router.followsStore) {
        readList(router);
    }
}

void StreamFleet::killAll()
{
    for (Router &router : m_routers) {
        start(router);
        if (!router.followsStore) {
            router.board->setStoreReachable(false, m_now);
        }
    }
    for (Stream &stream : m_streams) {
        stream.router.reset();
    }
}

void StreamFleet::leave(const std::string &incarnation)
{
    for (Router &router : m_routers) {
        if (router.followsStore) {
            router.board->removeListing(incarnation, m_now);
        }
    }
    m_targets.erase(incarnation);
}

bool StreamFleet::mayLeave(const Target &target) const
{
    return m_targets.size() > 1 && m_now - target.appearedAt >= std::chrono::milliseconds(m_options.versionsWrittenWithinMs);
}

void StreamFleet::endOldestVersion()
{
    const auto oldest = std::ranges::min_element(m_targets, {}, [](const auto &entry) {
        return entry.second.appearedAt;
    });
    const std::string version = oldest->second.listing.version;
    std::vector<std::string> ended;
    for (const auto &[incarnation, target] : m_targets) {
        if (target.listing.version == version) {
            ended.push_back(incarnation);
        }
    }
    for (const std::string &incarnation : ended) {
        if (mayLeave(m_targets.at(incarnation))) {
            leave(incarnation);
        }
    }
}

void StreamFleet::restart(Router &router)
{
    if (!router.followsStore) {
        return;
    }
    start(router);
    for (Stream &stream : m_streams) {
        if (stream.router && &m_routers[*stream.router] == &router) {
            stream.router.reset();
        }
    }
}

void StreamFleet::list(const Target &target)
{
    for (Router &router : m_routers) {
        if (router.followsStore) {
            router.board->updateListing(target.listing, m_now);
        }
    }
}

void StreamFleet::appear(bool statesVersion)
{
    if (m_targets.size() >= s_maxTargets) {
        return;
    }
    const std::string name = absl::StrCat("i-", ++m_next);
    // Software that states no version is taken for one version that differs from all stated ones.
    const std::string version = statesVersion ? absl::StrCat("v", draw(s_versions)) : std::string();
    Target &target = m_targets[name];
    target.listing = {.incarnation = name, .service = s_service, .relay = absl::StrCat("10.0.0.", m_next, ":7000"), .version = version};
    target.appearedAt = m_now;
    list(target);
}

std::vector<std::string> StreamFleet::keepers(const Router &router, std::uint64_t key, std::size_t most) const
{
    StreamKeepers keepers;
    keepers.setProcesses(router.board->relays(s_service));
    return keepers.keepersOf(key, most);
}

void StreamFleet::begin()
{
    const std::size_t number = draw(m_routers.size());
    Router &router = m_routers[number];
    const auto placement = router.board->choose({.service = s_service, .seed = m_random()}, m_now);
    if (!placement || !m_targets.contains(placement->incarnation)) {
        return;
    }
    Stream stream{.key = streamKey("team", absl::StrCat("r", ++m_next)),
                  .version = m_targets.at(placement->incarnation).listing.version,
                  .router = number,
                  .begunAt = m_now,
                  .known = placement->version};
    const StreamOrigin origin{.service = s_service, .version = placement->version};
    if (!origin.version.empty()) {
        router.own.record(stream.key, origin, m_now);
        for (const std::string &address : keepers(router, stream.key, s_keepersTold)) {
            for (auto &[incarnation, target] : m_targets) {
                if (target.listing.relay == address && router.reachesRelays && !lost()) {
                    target.relay.record(stream.key, origin, m_now);
                }
            }
        }
    }
    m_streams.push_back(std::move(stream));
}

void StreamFleet::serve(const Stream &stream, const Router &router, const std::string &version)
{
    const auto placement = router.board->choose({.service = s_service, .version = version, .seed = stream.key}, m_now);
    // A target that has left declines, whatever its router believes.
    if (placement && m_targets.contains(placement->incarnation)) {
        m_mixed += m_targets.at(placement->incarnation).listing.version != stream.version ? 1 : 0;
    }
}

void StreamFleet::goOnWithin(Stream &stream)
{
    if (!stream.router) {
        return;
    }
    const Router &router = m_routers[*stream.router];
    std::string version = stream.known;
    if (version.empty()) {
        const Duration longest = longestStream(s_routeTimeout);
        const Continuation decided =
            decideContinuation({.seen = router.board->seenVersions(s_service, longest, m_now), .longestStream = longest});
        if (decided.kind == Continuation::Kind::Nowhere) {
            return;
        }
        version = decided.origin.version;
    }
    serve(stream, router, version);
}

void StreamFleet::takeUp(Stream &stream)
{
    const std::size_t number = draw(m_routers.size());
    const Router &router = m_routers[number];
    const std::vector<std::string> services{s_service};
    const Duration longest = longestStream(s_routeTimeout);
    ContinuationFacts facts{
        .named = true, .services = services, .seen = router.board->seenVersions(s_service, longest, m_now), .longestStream = longest};
    std::size_t answered = 0;
    if (const auto own = router.own.find(stream.key, m_now)) {
        facts.origins.push_back(*own);
    } else {
        for (const std::string &address : keepers(router, stream.key, s_keepersAsked)) {
            for (const auto &[incarnation, target] : m_targets) {
                if (target.listing.relay != address || !router.reachesRelays || lost() || lost()) {
                    continue;
                }
                ++answered;
                if (const auto found = target.relay.find(stream.key, m_now)) {
                    facts.origins.push_back(*found);
                }
            }
        }
        facts.keepersSilent = answered == 0;
    }
    const bool canGoOn = router.followsStore && router.board->hasTargetInService(s_service, stream.version);
    m_takenUp += canGoOn ? 1 : 0;
    const Continuation decided = decideContinuation(facts);
    if (decided.kind == Continuation::Kind::Nowhere) {
        m_refused += canGoOn ? 1 : 0;
        return;
    }
    stream.router = number;
    stream.known = decided.origin.version;
    serve(stream, router, decided.origin.version);
}

void StreamFleet::apply(Event event)
{
    const auto chosen = [this](auto &container) {
        return std::next(container.begin(), static_cast<std::ptrdiff_t>(draw(container.size())));
    };
    switch (event) {
    case Event::StreamBegins:
        begin();
        break;
    case Event::StreamGoesOnWithinItsAnswer:
        if (!m_streams.empty()) {
            goOnWithin(*chosen(m_streams));
        }
        break;
    case Event::CallerTakesStreamUp:
        if (!m_streams.empty()) {
            takeUp(*chosen(m_streams));
        }
        break;
    case Event::TargetAppears:
        appear();
        break;
    case Event::TargetLeaves:
        if (const auto target = chosen(m_targets); mayLeave(target->second)) {
            leave(std::string(target->first));
        }
        break;
    case Event::OldestVersionLeaves:
        endOldestVersion();
        break;
    case Event::AllRoutersAreKilled:
        killAll();
        break;
    case Event::TargetAppearsWithoutAVersion:
        appear(false);
        break;
    case Event::RouterRestarts:
        restart(anyRouter());
        break;
    case Event::RouterLosesTheStore: {
        Router &router = anyRouter();
        router.followsStore = false;
        router.board->setStoreReachable(false, m_now);
        break;
    }
    case Event::RouterIsCutOff: {
        Router &router = anyRouter();
        router.followsStore = false;
        router.reachesRelays = false;
        router.board->setStoreReachable(false, m_now);
        break;
    }
    case Event::RouterIsBack:
        for (Router &router : m_routers) {
            if (!router.followsStore) {
                router.followsStore = true;
                router.reachesRelays = true;
                router.board->setStoreReachable(true, m_now);
                readList(router);
            }
        }
        break;
    case Event::RelayRestarts:
        chosen(m_targets)->second.relay = {};
        break;
    }
    synchroniseWhereDue();
}

}
