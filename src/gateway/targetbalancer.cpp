#include "gateway/targetbalancer.h"

#include "operations/log.h"
#include "routing/stablehash.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace bamboohold {

namespace {

/// Erased targets whose directives are retained.
constexpr std::size_t s_maxRetainedDirectives = 1024;
/// Targets that are considered for one request besides the preferred ones; all of them in small fleets. Half of them are in the router's
/// own failure domain. Bounds the time of a choice to a few microseconds for any number of targets.
constexpr std::size_t s_sampleSize = 32;
/// A backlog of prompt tokens up to this multiple of its limit costs callers less than to process the cached prompt again at a target with
/// less of it, as long as the service has capacity.
constexpr int s_preferredBacklogFactor = 2;
/// Targets that requests with the same shared prompt part prefer: one, and a second for when the first is busy.
constexpr std::size_t s_preferredTargets = 2;
/// A target whose relay reported no capacity this recently is not queried again for a request that waits while others are left. Within
/// this time a busy target ends a few requests.
constexpr Duration s_fullReportLifetime = std::chrono::milliseconds(50);

}

TargetBalancer::TargetBalancer(Options options)
    : m_options(std::move(options))
    , m_continuity({.gracePeriod = m_options.listGracePeriod})
{
}

void TargetBalancer::replaceAll(std::vector<TargetListing> listings,
                                Instant now,
                                std::span<const std::string> unusableNames,
                                std::span<const std::string> unchangedNames)
{
    // Between two reads of the whole list, targets may have come and gone unseen.
    m_followedSince = now;
    m_versionsKnownSince.clear();
    std::set<std::string> present(unusableNames.begin(), unusableNames.end());
    present.insert(unchangedNames.begin(), unchangedNames.end());
    for (TargetListing &listing : listings) {
        present.insert(listing.name());
        updateListing(std::move(listing), now);
    }
    for (const std::string &name : unusableNames) {
        markUnusable(name);
    }
    std::vector<std::string> missing;
    for (const auto &[name, incarnation] : m_currentIncarnation) {
        if (!present.contains(name)) {
            missing.push_back(name);
        }
    }
    for (const std::string &name : missing) {
        removeTarget(findByName(name), m_continuity.missingEntry(now), now);
    }
}

std::map<std::string, TargetState>::iterator TargetBalancer::findByName(const std::string &name)
{
    const auto incarnation = m_currentIncarnation.find(name);
    return incarnation == m_currentIncarnation.end() ? m_targets.end() : m_targets.find(incarnation->second);
}

void TargetBalancer::eraseTarget(std::map<std::string, TargetState>::iterator target, Instant now)
{
    const TargetListing &listing = target->second.listing;
    recordVersion(listing, now);
    if (m_retainedDirectives.size() >= s_maxRetainedDirectives) {
        m_retainedDirectives.clear();
    }
    m_retainedDirectives[listing.incarnation] = target->second.directives;
    m_currentIncarnation.erase(listing.name());
    m_targets.erase(target);
    m_poolsValid = false;
}

void TargetBalancer::setEvacuatedDomains(std::set<std::string> domains, Instant now)
{
    for (auto &[incarnation, target] : m_targets) {
        const bool before = std::exchange(target.evacuated, domains.contains(target.listing.failureDomain));
        if (before && !target.evacuated) {
            target.presumedColdUntil = now + m_options.presumedColdPeriod;
        }
    }
    m_evacuated = std::move(domains);
}

void TargetBalancer::updateListing(TargetListing listing, Instant now)
{
    const auto before = findByName(listing.name());
    if (before != m_targets.end() && before->second.listing.incarnation != listing.incarnation) {
        eraseTarget(before, now);
    }
    m_currentIncarnation[listing.name()] = listing.incarnation;
    m_poolsValid = false;
    const auto [entry, added] = m_targets.try_emplace(listing.incarnation);
    TargetState &target = entry->second;
    if (const auto retained = m_retainedDirectives.find(listing.incarnation); added && retained != m_retainedDirectives.end()) {
        target.directives = retained->second;
    }
    // An announced shutdown is final for an incarnation; an entry without it is older.
    listing.leaving = listing.leaving || target.listing.leaving;
    // A capacity of 0 states nothing, so the last one stays.
    listing.slots = listing.slots > 0 ? listing.slots : target.listing.slots;
    checkVersion(target, listing, now);
    target.listing = std::move(listing);
    target.evacuated = m_evacuated.contains(target.listing.failureDomain);
    target.coldUntil = now + target.listing.warmup;
    target.usable = true;
    target.missingSince.reset();
    updateFigures(target, now);
}

void TargetBalancer::markUnusable(const std::string &name)
{
    const auto found = findByName(name);
    if (found != m_targets.end()) {
        found->second.usable = false;
    }
}

void TargetBalancer::removeListing(const std::string &name, Instant now)
{
    removeTarget(findByName(name), m_continuity.removedEntry(now), now);
}

void TargetBalancer::removeTarget(std::map<std::string, TargetState>::iterator target, MissingEntry meaning, Instant now)
{
    if (target == m_targets.end()) {
        return;
    }
    if (meaning != MissingEntry::Left && !target->second.leaving()) {
        if (!target->second.missingSince) {
            target->second.missingSince = now;
            logLine(
                Severity::Info, "target.missing", {{"target", target->second.listing.incarnation}, {"meaning", missingEntryName(meaning)}});
        }
        return;
    }
    // Unlike an incarnation that was replaced by another, this one may be listed again.
    target->second.directives.leaving = target->second.leaving();
    eraseTarget(target, now);
}

void TargetBalancer::setStoreReachable(bool reachable, Instant now)
{
    if (reachable && !m_continuity.storeReachable()) {
        m_followedSince = now;
    }
    if (!reachable) {
        m_followedSince.reset();
        m_versionsKnownSince.clear();
    }
    m_continuity.setStoreReachable(reachable, now);
}

void TargetBalancer::setStoreReturned(Instant now)
{
    m_continuity.setStoreReturned(now);
}

bool TargetBalancer::hasMissing() const
{
    return std::ranges::any_of(m_targets, [](const auto &entry) {
        return entry.second.missingSince.has_value();
    });
}

std::vector<std::string> TargetBalancer::removeExpired(Instant now)
{
    std::vector<std::string> removed;
    if (m_continuity.missingEntry(now) != MissingEntry::Left) {
        return removed;
    }
    for (auto target = m_targets.begin(); target != m_targets.end();) {
        const auto next = std::next(target);
        if (target->second.missingSince) {
            removed.push_back(target->second.listing.name());
            removeTarget(target, MissingEntry::Left, now);
        }
        target = next;
    }
    return removed;
}

std::optional<OutOfServiceReason> TargetBalancer::outOfServiceReason(const std::string &incarnation) const
{
    const auto found = m_targets.find(incarnation);
    return found == m_targets.end() ? std::nullopt : found->second.outOfServiceReason();
}

void TargetBalancer::addToPool(Pool &pool, const PoolEntry &entry, bool local)
{
    pool.entries.push_back(entry);
    pool.localCount += local ? 1 : 0;
    pool.statesSlots = pool.statesSlots || entry.target->listing.slots > 0;
}

const TargetBalancer::Pool &TargetBalancer::pool(std::string_view service, std::string_view version) const
{
    static const Pool s_emptyPool;
    if (!m_poolsValid) {
        m_pools.clear();
        for (const bool own : {true, false}) {
            for (const auto &[incarnation, target] : m_targets) {
                if ((target.listing.failureDomain == m_options.failureDomain) == own) {
                    const PoolEntry entry{.hash = stableHash(incarnation), .target = &target};
                    ServicePools &pools = m_pools[target.listing.service];
                    addToPool(pools.all, entry, own);
                    if (!target.version().empty()) {
                        addToPool(pools.byVersion[std::string(target.version())], entry, own);
                    }
                }
            }
        }
        m_poolsValid = true;
    }
    const auto found = m_pools.find(service);
    if (found == m_pools.end()) {
        return s_emptyPool;
    }
    if (version.empty()) {
        return found->second.all;
    }
    const auto ofVersion = found->second.byVersion.find(version);
    return ofVersion == found->second.byVersion.end() ? s_emptyPool : ofVersion->second;
}

std::vector<const TargetState *> TargetBalancer::preferredTargets(const Pool &pool, std::span<const PromptPart> prompt) const
{
    if (prompt.size() < 2 || !m_options.prefixAffinity) {
        return {};
    }
    const std::uint64_t shared = prompt[prompt.size() - 2].id;
    std::array<const TargetState *, s_preferredTargets> best{};
    std::array<std::uint64_t, s_preferredTargets> weights{};
    for (const PoolEntry &entry : pool.entries) {
        const std::uint64_t weight = mixed(shared ^ entry.hash);
        // Few weights are among the best, so the state of few targets is read.
        if (weight < weights.back() || !entry.target->inService()) {
            continue;
        }
        std::size_t place = s_preferredTargets - 1;
        for (; place > 0 && weight >= weights[place - 1]; --place) {
            weights[place] = weights[place - 1];
            best[place] = best[place - 1];
        }
        weights[place] = weight;
        best[place] = entry.target;
    }
    return {best.begin(), std::ranges::find(best, nullptr)};
}

std::vector<const TargetState *>
TargetBalancer::sampleTargets(const Pool &pool, const PlacementRequest &request, std::span<const TargetState *const> preferredTargets) const
{
    std::vector<const TargetState *> targets(preferredTargets.begin(), preferredTargets.end());
    const std::size_t size = pool.entries.size();
    const auto take = [&](std::size_t count, std::size_t among, std::uint64_t seed) {
        for (std::size_t step = 0; step < std::min(count, among); ++step) {
            const TargetState *target = pool.entries[(seed + step) % among].target;
            if (std::ranges::find(preferredTargets, target) == preferredTargets.end()) {
                targets.push_back(target);
            }
        }
    };
    const std::uint64_t seed = mixed(request.seed);
    if (size <= s_sampleSize) {
        take(size, size, seed);
        return targets;
    }
    take(s_sampleSize / 2, pool.localCount, seed);
    const std::size_t fromAll = s_sampleSize - std::min(s_sampleSize / 2, pool.localCount);
    take(fromAll, size, mixed(seed));
    return targets;
}

std::vector<TargetBalancer::RankedTarget> TargetBalancer::rankTargets(const PlacementRequest &request, bool backedOff, Instant now) const
{
    const Pool &servicePool = pool(request.service, request.version);
    const std::vector<const TargetState *> preferred = preferredTargets(servicePool, request.prompt);
    const MissingEntry meaning = m_continuity.missingEntry(now);
    bool anyListed = false;
    std::vector<RankedTarget> scored;
    for (const TargetState *target : sampleTargets(servicePool, request, preferred)) {
        const std::string &incarnation = target->listing.incarnation;
        const bool tried = std::ranges::find(request.excluded, incarnation) != request.excluded.end();
        const bool shortlisted = request.shortlist.empty() || std::ranges::find(request.shortlist, incarnation) != request.shortlist.end();
        const bool needsAdmission = request.skipAdmissionControlled && (target->directives.rateLimit || target->mayBeCold(now));
        const bool suspended = now < target->directives.suspendedUntil;
        if (target->missingSince && meaning == MissingEntry::Left) {
            continue;
        }
        if (!hasVersion(*target, request.version) || !target->inService() || suspended || tried || !shortlisted || needsAdmission
            || target->inBackoff(now) != backedOff) {
            continue;
        }
        const bool mostPreferred = !preferred.empty() && target == preferred.front();
        const Tokens uncachedTokens = target->uncachedTokens(m_options, request.prompt, mostPreferred, now);
        const double value = backedOff ? target->consecutiveBackoffs : target->score(m_options, uncachedTokens, now);
        const bool lastChoice = target->missingSince && meaning == MissingEntry::Unknown;
        anyListed = anyListed || !lastChoice;
        scored.push_back({.target = target, .uncachedTokens = uncachedTokens, .score = value, .lastChoice = lastChoice});
    }
    if (anyListed) {
        std::erase_if(scored, [](const RankedTarget &target) {
            return target.lastChoice;
        });
    }
    // Stable, so that targets with equal scores keep the order of the sample.
    std::ranges::stable_sort(scored, {}, &RankedTarget::score);
    return scored;
}

bool TargetBalancer::fits(const RankedTarget &ranked, const PlacementRequest &request, Instant now) const
{
    const TargetOccupancy occupancy = occupancyOf(*ranked.target, m_options, *request.capacity, now);
    return hasCapacity(occupancy, ranked.uncachedTokens, *request.capacity);
}

void TargetBalancer::keepWithCapacity(std::vector<RankedTarget> &ranked, PlacementRequest request, Instant now) const
{
    const bool anyFits = std::ranges::any_of(ranked, [&](const RankedTarget &target) {
        return fits(target, request, now);
    });
    if (!anyFits) {
        ranked.clear();
        return;
    }
    // A request that need not wait goes where it would go without a queue.
    if (!request.capacity->waiting) {
        return;
    }
    // While the service has capacity, a target that has the prompt cached may be preferred up to twice its limit.
    request.capacity->objective *= s_preferredBacklogFactor;
    std::erase_if(ranked, [&](const RankedTarget &target) {
        return !fits(target, request, now);
    });
}

bool TargetBalancer::justFoundFull(const RankedTarget &ranked, const PlacementRequest &request, Instant now) const
{
    const TargetOccupancy occupancy = occupancyOf(*ranked.target, m_options, *request.capacity, now);
    const bool recent = occupancy.reportedAt && now - *occupancy.reportedAt < s_fullReportLifetime;
    return recent && !hasCapacity(occupancy, ranked.uncachedTokens, *request.capacity);
}

std::vector<std::string> TargetBalancer::candidates(const PlacementRequest &request, std::size_t most, Instant now) const
{
    std::vector<std::string> names;
    std::vector<RankedTarget> ranked = rankTargets(request, false, now);
    // A listed target in back-off goes before a last choice.
    if (!ranked.empty() && ranked.front().lastChoice) {
        return names;
    }
    if (request.capacity && request.capacity->waiting) {
        std::stable_partition(ranked.begin(), ranked.end(), [&](const RankedTarget &scored) {
            return !justFoundFull(scored, request, now);
        });
    }
    for (const RankedTarget &scored : ranked) {
        if (names.size() == most) {
            break;
        }
        names.push_back(scored.target->listing.incarnation);
    }
    return names;
}

std::optional<Placement> TargetBalancer::choose(const PlacementRequest &request, Instant now) const
{
    std::vector<RankedTarget> best = rankTargets(request, false, now);
    std::vector<RankedTarget> backedOff;
    if (best.empty() || best.front().lastChoice) {
        backedOff = rankTargets(request, true, now);
    }
    if (best.empty() || (!backedOff.empty() && !backedOff.front().lastChoice)) {
        // All listed targets are in back-off. The one with the fewest back-offs serves the caller better than a refusal.
        best = std::move(backedOff);
        // A target that declined, without having failed, is full.
        if (request.capacity && !best.empty() && best.front().target->consecutiveBackoffs == 0) {
            return std::nullopt;
        }
    } else if (request.capacity) {
        keepWithCapacity(best, request, now);
    }
    if (best.empty()) {
        return std::nullopt;
    }
    const TargetState &target = *best.front().target;
    const TargetListing &listing = target.listing;
    return Placement{.incarnation = listing.incarnation,
                     .name = listing.name(),
                     .address = listing.address,
                     .version = std::string(target.version()),
                     .uncachedTokens = best.front().uncachedTokens,
                     .unreadAhead = target.totalLoad(m_options, now).unread,
                     .cold = target.mayBeCold(now),
                     .rateLimit = target.directives.rateLimit,
                     .missingSince = target.missingSince,
                     .missingEntry = target.missingSince ? std::optional(m_continuity.missingEntry(now)) : std::nullopt};
}

std::optional<TargetBalancer::OwnLoad> TargetBalancer::ownLoad(const std::string &incarnation) const
{
    const auto found = m_targets.find(incarnation);
    if (found == m_targets.end() || found->second.listing.relay.empty()) {
        return std::nullopt;
    }
    const TargetState &target = found->second;
    return OwnLoad{.relay = target.listing.relay, .load = {.outstanding = target.outstanding, .unread = target.unread}};
}

std::vector<std::string> TargetBalancer::targetsInUse() const
{
    std::vector<std::string> names;
    for (const auto &[incarnation, target] : m_targets) {
        if (target.outstanding > 0) {
            names.push_back(incarnation);
        }
    }
    return names;
}

void TargetBalancer::setRemoteLoad(const std::string &incarnation, const TargetLoad &remoteLoad, Instant now)
{
    const auto found = m_targets.find(incarnation);
    if (found != m_targets.end()) {
        found->second.remoteLoad = remoteLoad;
        found->second.remoteLoadAt = now;
        found->second.relayTimedOutAt.reset();
    }
}

void TargetBalancer::relayTimedOut(const std::string &incarnation, Instant now)
{
    const auto found = m_targets.find(incarnation);
    if (found != m_targets.end()) {
        found->second.relayTimedOutAt = now;
    }
}

void TargetBalancer::requestSent(const std::string &incarnation, std::span<const PromptPart> prompt, Tokens uncachedTokens, Instant now)
{
    const auto found = m_targets.find(incarnation);
    if (found != m_targets.end()) {
        found->second.requestSent(m_options, prompt, uncachedTokens, now);
    }
}

void TargetBalancer::firstByteReceived(const std::string &incarnation, Tokens uncachedTokens, Instant sentAt)
{
    const auto found = m_targets.find(incarnation);
    if (found != m_targets.end()) {
        found->second.firstByteReceived(uncachedTokens, sentAt);
    }
}

void TargetBalancer::attemptEnded(const std::string &incarnation, HealthSignal signal, Instant now)
{
    const auto found = m_targets.find(incarnation);
    if (found != m_targets.end()) {
        found->second.attemptEnded(m_options, signal, now);
    }
}

bool TargetBalancer::inBackoff(const std::string &incarnation, Instant now) const
{
    const auto found = m_targets.find(incarnation);
    return found != m_targets.end() && found->second.inBackoff(now);
}

void TargetBalancer::undoBackoff(const std::string &incarnation)
{
    const auto found = m_targets.find(incarnation);
    if (found != m_targets.end()) {
        found->second.undoBackoff();
    }
}

void TargetBalancer::setRateLimit(const std::string &incarnation, double requestsPerSecond, Instant now)
{
    const auto found = m_targets.find(incarnation);
    if (found != m_targets.end()) {
        found->second.directives.rateLimit = requestsPerSecond;
        found->second.directives.rateLimitReportedAt = now;
    }
}

bool TargetBalancer::clearRateLimit(const std::string &incarnation, Instant sentAt)
{
    const auto found = m_targets.find(incarnation);
    if (found == m_targets.end() || !found->second.directives.rateLimit || sentAt < found->second.directives.rateLimitReportedAt) {
        return false;
    }
    found->second.directives.rateLimit.reset();
    return true;
}

std::optional<double> TargetBalancer::rateLimit(const std::string &incarnation) const
{
    const auto found = m_targets.find(incarnation);
    return found == m_targets.end() ? std::nullopt : found->second.directives.rateLimit;
}

void TargetBalancer::suspendUntil(const std::string &incarnation, Instant until)
{
    const auto found = m_targets.find(incarnation);
    if (found != m_targets.end()) {
        found->second.directives.suspendedUntil = std::max(found->second.directives.suspendedUntil, until);
    }
}

std::optional<Instant> TargetBalancer::nextResumption(std::string_view service, Instant now, std::string_view version) const
{
    std::optional<Instant> first;
    for (const PoolEntry &entry : pool(service, version).entries) {
        if (!entry.target->inService() || !hasVersion(*entry.target, version)) {
            continue;
        }
        if (entry.target->directives.suspendedUntil <= now) {
            return std::nullopt;
        }
        first = std::min(first.value_or(Instant::max()), entry.target->directives.suspendedUntil);
    }
    return first;
}

bool TargetBalancer::hasTargetInService(std::string_view service, std::string_view version) const
{
    return std::ranges::any_of(pool(service, version).entries, [&](const PoolEntry &entry) {
        return entry.target->inService() && hasVersion(*entry.target, version);
    });
}

bool TargetBalancer::statesSlots(std::string_view service) const
{
    return pool(service).statesSlots;
}

void TargetBalancer::markLeaving(const std::string &incarnation)
{
    const auto found = m_targets.find(incarnation);
    if (found != m_targets.end()) {
        found->second.directives.leaving = true;
    }
}

}
