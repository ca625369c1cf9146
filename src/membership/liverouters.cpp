#include "membership/liverouters.h"

#include <utility>

namespace bamboohold {

namespace {

StoreTimeMs inMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}

LiveRouters::LiveRouters(Options options)
    : m_options(options)
{
}

std::vector<std::string> LiveRouters::update(std::span<const Row> rows, StoreGeneration generation, StoreTimeMs now)
{
    std::set<std::string> present;
    for (const Row &row : rows) {
        present.insert(row.router);
    }
    const bool storeReturned = m_generation && generation != *m_generation;
    m_generation = generation;
    if (storeReturned) {
        m_awaited = m_live;
        m_awaitedUntil = now + inMilliseconds(m_options.interval + s_rewriteMargin);
    } else {
        noteRemovals(present, generation, now);
    }
    if (now >= m_awaitedUntil) {
        m_awaited.clear();
    }
    std::set<std::string> live = m_awaited;
    for (const Row &row : rows) {
        if (isLive(row, generation, now)) {
            live.insert(row.router);
        }
    }
    m_present = std::move(present);
    m_live = live;
    return {live.begin(), live.end()};
}

void LiveRouters::noteRemovals(const std::set<std::string> &present, StoreGeneration generation, StoreTimeMs now)
{
    std::erase_if(m_removals, [&](const auto &removal) {
        const auto &[router, last] = removal;
        const bool writtenSince = last.generation == generation && present.contains(router);
        const bool outdated = !present.contains(router) && now - last.at > inMilliseconds(m_options.rowTimeout);
        return writtenSince || outdated;
    });
    for (const std::string &router : m_present) {
        if (!present.contains(router)) {
            m_removals[router] = {.generation = generation, .at = now};
            m_awaited.erase(router);
        }
    }
}

bool LiveRouters::isLive(const Row &row, StoreGeneration generation, StoreTimeMs now) const
{
    const auto removal = m_removals.find(row.router);
    if (removal != m_removals.end() && removal->second.generation != generation && row.writtenAt <= removal->second.at) {
        return false;
    }
    const StoreTimeMs rowTimeout = inMilliseconds(m_options.rowTimeout);
    // A router writes 0 until it knows the store's time, so such a row counts as just written.
    return row.writtenAt == 0 || (row.writtenAt >= now - rowTimeout && row.writtenAt <= now + rowTimeout);
}

}
