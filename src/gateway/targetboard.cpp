#include "gateway/targetboard.h"

#include "routing/stablehash.h"

#include <algorithm>
#include <iterator>

namespace bamboohold {

namespace {

/// Beyond this, doubling pauses makes no difference any more.
constexpr std::uint32_t s_maxDoublings = 8;
/// Parts remembered for each target; more than an engine's memory holds.
constexpr std::size_t s_maxCachedParts = 4096;
/// A starting target is given work as if it had this much more of it.
constexpr double s_warmupMs = 60;
constexpr double s_msPerSecond = 1000;

}

TargetBoard::TargetBoard(Options options)
    : m_options(std::move(options))
{
}

void TargetBoard::setAll(std::vector<TargetListing> listings, Instant now, std::span<const std::string> unusableNames)
{
    std::set<std::string> present(unusableNames.begin(), unusableNames.end());
    for (TargetListing &listing : listings) {
        present.insert(listing.name());
        listed(std::move(listing));
    }
    for (const std::string &name : unusableNames) {
        unusable(name);
    }
    std::vector<std::string> missing;
    for (const auto &[name, incarnation] : m_incarnations) {
        if (!present.contains(name)) {
            missing.push_back(name);
        }
    }
    for (const std::string &name : missing) {
        unlisted(name, now);
    }
}

std::map<std::string, TargetBoard::Target>::iterator TargetBoard::named(const std::string &name)
{
    const auto incarnation = m_incarnations.find(name);
    return incarnation == m_incarnations.end() ? m_targets.end() : m_targets.find(incarnation->second);
}

void TargetBoard::forget(std::map<std::string, Target>::iterator target)
{
    m_incarnations.erase(target->second.listing.name());
    m_targets.erase(target);
}

void TargetBoard::listed(TargetListing listing)
{
    const auto before = named(listing.name());
    if (before != m_targets.end() && before->second.listing.incarnation != listing.incarnation) {
        forget(before);
    }
    m_incarnations[listing.name()] = listing.incarnation;
    Target &target = m_targets[listing.incarnation];
    // A target that has said that it leaves does not come back; an entry that says otherwise is older.
    listing.leaving = listing.leaving || target.listing.leaving;
    target.listing = std::move(listing);
    target.usable = true;
    target.doubtedSince.reset();
}

void TargetBoard::unusable(const std::string &name)
{
    const auto found = named(name);
    if (found != m_targets.end()) {
        found->second.usable = false;
    }
}

bool TargetBoard::storeTroubled(Instant now) const
{
    return !m_storeReachable || (m_storeBackAt && now - *m_storeBackAt < m_options.listGrace);
}

void TargetBoard::unlisted(const std::string &name, Instant now)
{
    const auto found = named(name);
    if (found == m_targets.end()) {
        return;
    }
    if (storeTroubled(now) && !found->second.listing.leaving) {
        if (!found->second.doubtedSince) {
            found->second.doubtedSince = now;
        }
        return;
    }
    forget(found);
}

void TargetBoard::storeReachable(bool reachable, Instant now)
{
    if (reachable && !m_storeReachable) {
        m_storeBackAt = now;
    }
    m_storeReachable = reachable;
}

void TargetBoard::expire(Instant now)
{
    if (storeTroubled(now)) {
        return;
    }
    for (auto target = m_targets.begin(); target != m_targets.end();) {
        const auto next = std::next(target);
        if (target->second.doubtedSince) {
            forget(target);
        }
        target = next;
    }
}

bool TargetBoard::takesWork(const Target &target)
{
    return target.usable && !target.listing.leaving;
}

std::string TargetBoard::favourite(std::string_view service, std::span<const PromptPart> prompt) const
{
    if (prompt.size() < 2 || !m_options.favourites) {
        return {};
    }
    const std::uint64_t shared = prompt[prompt.size() - 2].id;
    std::string best;
    std::uint64_t bestWeight = 0;
    for (const auto &[incarnation, target] : m_targets) {
        const std::uint64_t weight = mixed(shared ^ stableHash(incarnation));
        if (target.listing.service == service && takesWork(target) && weight >= bestWeight) {
            best = incarnation;
            bestWeight = weight;
        }
    }
    return best;
}

Tokens TargetBoard::uncachedAt(const Target &target, std::span<const PromptPart> prompt, std::string_view favourite, Instant now) const
{
    Tokens uncached = 0;
    bool prefixHeld = true;
    for (std::size_t index = 0; index < prompt.size(); ++index) {
        const bool own = index + 1 == prompt.size();
        const auto found = target.cached.find(prompt[index].id);
        const bool known = found != target.cached.end() && now - found->second < m_options.cacheMemory;
        // Other routers send requests for this part to its favourite as well, so it probably has it although this router never sent one.
        const bool likely = !own && target.listing.incarnation == favourite;
        prefixHeld = prefixHeld && (known || likely);
        if (!prefixHeld) {
            uncached += prompt[index].tokens;
        }
    }
    return uncached;
}

double TargetBoard::score(const Target &target, Tokens uncached, Instant now) const
{
    const Duration waited = target.waiting.empty() ? Duration::zero() : now - *target.waiting.begin() - m_options.patience;
    const double overdue = std::max(0.0, seconds(waited) * s_msPerSecond);
    const double reading = static_cast<double>(uncached + target.unread) / m_options.prefillTokensPerMs;
    const double running = m_options.msPerOutstanding * target.outstanding;
    const double distance = target.listing.failureDomain == m_options.failureDomain ? 0 : m_options.msOtherDomain;
    const double warmup = target.listing.warmup > Duration::zero() ? s_warmupMs : 0;
    return reading + running + distance + warmup + overdue;
}

bool TargetBoard::resting(const Target &target, Instant now)
{
    const bool paused = target.pausedUntil && now < *target.pausedUntil;
    // One attempt at a time finds out whether a target that failed is back.
    const bool onTrial = target.failures > 0 && target.outstanding > 0;
    return paused || onTrial;
}

TargetBoard::Best TargetBoard::bestOf(const PlacementWish &wish, bool rested, Instant now) const
{
    const std::string favoured = favourite(wish.service, wish.prompt);
    Best best;
    for (const auto &[incarnation, target] : m_targets) {
        const bool tried = std::ranges::find(wish.except, incarnation) != wish.except.end();
        if (target.listing.service != wish.service || !takesWork(target) || tried || resting(target, now) != rested) {
            continue;
        }
        const Tokens uncached = uncachedAt(target, wish.prompt, favoured, now);
        const double value = rested ? target.failures : score(target, uncached, now);
        if (!best.placement || value < best.score) {
            best.score = value;
            best.placement = Placement{
                .incarnation = incarnation, .name = target.listing.name(), .address = target.listing.address, .uncached = uncached};
        }
    }
    return best;
}

std::optional<Placement> TargetBoard::choose(const PlacementWish &wish, Instant now) const
{
    const Best best = bestOf(wish, false, now);
    if (best.placement) {
        return best.placement;
    }
    // When every target has failed lately, the one that failed least is more use to the caller than a refusal.
    return bestOf(wish, true, now).placement;
}

void TargetBoard::sent(const std::string &incarnation, std::span<const PromptPart> prompt, Tokens uncached, Instant now)
{
    const auto found = m_targets.find(incarnation);
    if (found == m_targets.end()) {
        return;
    }
    Target &target = found->second;
    ++target.outstanding;
    target.unread += uncached;
    target.waiting.insert(now);
    if (target.cached.size() > s_maxCachedParts) {
        absl::erase_if(target.cached, [&](const auto &entry) {
            return now - entry.second >= m_options.cacheMemory;
        });
    }
    for (const PromptPart &part : prompt) {
        target.cached[part.id] = now;
    }
}

void TargetBoard::begun(const std::string &incarnation, Tokens uncached, Instant sentAt)
{
    const auto found = m_targets.find(incarnation);
    if (found == m_targets.end()) {
        return;
    }
    Target &target = found->second;
    target.unread -= uncached;
    const auto waiting = target.waiting.find(sentAt);
    if (waiting != target.waiting.end()) {
        target.waiting.erase(waiting);
    }
}

void TargetBoard::done(const std::string &incarnation, TargetSign sign, Instant now)
{
    const auto found = m_targets.find(incarnation);
    if (found == m_targets.end()) {
        return;
    }
    Target &target = found->second;
    target.outstanding -= std::min<std::uint32_t>(target.outstanding, 1);
    switch (sign) {
    case TargetSign::Sound:
        target.failures = 0;
        target.failingInRow = 0;
        target.pausedUntil.reset();
        break;
    case TargetSign::Declined:
        target.pausedUntil = now + m_options.declinePause;
        break;
    case TargetSign::Broken:
        pauseBroken(target, now);
        break;
    case TargetSign::Failing:
        if (++target.failingInRow >= m_options.failingLimit) {
            pauseBroken(target, now);
        }
        break;
    case TargetSign::Neutral:
        break;
    }
}

void TargetBoard::pauseBroken(Target &target, Instant now) const
{
    if (!m_options.ejects) {
        return;
    }
    const Duration pause = m_options.firstPause * (std::int64_t{1} << std::min(target.failures, s_maxDoublings));
    target.pausedUntil = now + std::min(m_options.longestPause, pause);
    ++target.failures;
    target.cached.clear();
}

void TargetBoard::replaced(const std::string &incarnation)
{
    const auto found = m_targets.find(incarnation);
    if (found != m_targets.end()) {
        found->second.listing.leaving = true;
    }
}

}
