#include "overload/growingroom.h"

#include <algorithm>

namespace bamboohold {

GrowingRoom::GrowingRoom(Options options)
    : m_options(options)
{
}

bool GrowingRoom::isOnly(const Holding &asking) const
{
    return m_used == asking.held;
}

std::optional<std::uint64_t> GrowingRoom::keptFree(const Holding &asking) const
{
    const Holding *oldest = nullptr;
    std::uint64_t greatest = 0;
    for (const auto &[id, holding] : m_holdings) {
        if (!holding.growing) {
            continue;
        }
        greatest = std::max(greatest, holding.most);
        if (holding.order < asking.order) {
            oldest = oldest == nullptr || holding.order < oldest->order ? &holding : oldest;
            if (holding.waiting) {
                return std::nullopt;
            }
        }
    }
    // With this much left, the next oldest one can grow as far once this one has given its room back.
    return oldest != nullptr ? greatest - std::min(oldest->held, greatest) : 0;
}

GrowingRoom::Growth GrowingRoom::grow(Id id, std::uint64_t bytes, std::uint64_t most, Instant now)
{
    auto [entry, isNew] = m_holdings.try_emplace(id);
    Holding &holding = entry->second;
    if (isNew) {
        holding.order = m_nextOrder++;
        holding.progressAt = now;
    }
    holding.most = std::max(most, holding.held + bytes);
    holding.waiting = false;
    const std::optional<std::uint64_t> kept = keptFree(holding);
    if (kept && (m_used + bytes + *kept <= m_options.bytes || isOnly(holding))) {
        holding.held += bytes;
        m_used += bytes;
        // While it waited, its client could not make any.
        holding.progressAt = now;
        holding.progressBytes = 0;
        return {.granted = true};
    }
    holding.waiting = true;
    return {.granted = false, .yielding = kept ? chooseYielding(id, bytes + *kept, now) : std::vector<Id>()};
}

bool GrowingRoom::isStalled(const Holding &holding, Instant now) const
{
    return holding.held > 0 && !holding.waiting && !holding.yielding && holding.progress == Progress::Expected
        && now - holding.progressAt >= m_options.stallTime;
}

std::vector<GrowingRoom::Id> GrowingRoom::chooseYielding(Id asking, std::uint64_t wanted, Instant now)
{
    std::vector<std::pair<Instant, Id>> stalled;
    std::uint64_t stays = m_used;
    for (const auto &[id, holding] : m_holdings) {
        stays -= holding.yielding ? holding.held : 0;
        if (id != asking && isStalled(holding, now)) {
            stalled.emplace_back(holding.progressAt, id);
        }
    }
    std::ranges::sort(stalled);
    std::vector<Id> yielding;
    for (const auto &[since, id] : stalled) {
        if (stays + wanted <= m_options.bytes) {
            break;
        }
        Holding &holding = m_holdings.at(id);
        holding.yielding = true;
        stays -= holding.held;
        yielding.push_back(id);
    }
    return yielding;
}

void GrowingRoom::recordProgress(Id id, std::uint64_t bytes, Instant now)
{
    const auto found = m_holdings.find(id);
    if (found == m_holdings.end()) {
        return;
    }
    Holding &holding = found->second;
    holding.progressBytes += bytes;
    if (holding.progressBytes >= std::max(m_options.minProgress, holding.held / m_options.partOfHeld)) {
        holding.progressBytes = 0;
        holding.progressAt = now;
    }
}

void GrowingRoom::setComplete(Id id)
{
    const auto found = m_holdings.find(id);
    if (found != m_holdings.end()) {
        found->second.growing = false;
        found->second.waiting = false;
    }
}

void GrowingRoom::setProgress(Id id, Progress progress, Instant now)
{
    const auto found = m_holdings.find(id);
    if (found != m_holdings.end()) {
        found->second.progress = progress;
        found->second.progressAt = now;
        found->second.progressBytes = 0;
    }
}

void GrowingRoom::stopWaiting(Id id)
{
    const auto found = m_holdings.find(id);
    if (found == m_holdings.end()) {
        return;
    }
    found->second.waiting = false;
    if (found->second.held == 0) {
        m_holdings.erase(found);
    }
}

void GrowingRoom::release(Id id)
{
    const auto found = m_holdings.find(id);
    if (found != m_holdings.end()) {
        m_used -= found->second.held;
        m_holdings.erase(found);
    }
}

std::uint64_t GrowingRoom::held(Id id) const
{
    const auto found = m_holdings.find(id);
    return found != m_holdings.end() ? found->second.held : 0;
}

std::optional<GrowingRoom::Id> GrowingRoom::firstWaiting() const
{
    const Holding *first = nullptr;
    std::optional<Id> waiting;
    for (const auto &[id, holding] : m_holdings) {
        if (holding.waiting && (first == nullptr || holding.order < first->order)) {
            first = &holding;
            waiting = id;
        }
    }
    return waiting;
}

}
