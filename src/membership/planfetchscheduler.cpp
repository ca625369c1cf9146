#include "membership/planfetchscheduler.h"

#include "routing/stablehash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace bamboohold {

PlanFetchScheduler::PlanFetchScheduler(Options options)
    : m_options(std::move(options))
{
}

void PlanFetchScheduler::heard(const std::string &peer, std::uint64_t version, Instant now)
{
    Peer &known = m_peers[peer];
    known.version = std::max(known.version, version);
    if (version <= m_inForce) {
        return;
    }
    if (!m_first) {
        m_first = Wanted{.version = version, .since = now};
    }
    if (!m_newest || version > m_newest->version) {
        m_newest = Wanted{.version = version, .since = now};
    }
}

void PlanFetchScheduler::inForce(std::uint64_t version, std::size_t documentBytes)
{
    m_inForce = std::max(m_inForce, version);
    m_documentBytes = documentBytes;
    if (m_begun.version <= m_inForce) {
        m_begun = {};
    }
    if (m_newest && m_newest->version <= m_inForce) {
        m_newest.reset();
    }
    if (m_first && m_first->version <= m_inForce) {
        m_first = m_newest;
    }
    std::erase_if(m_peers, [this](const auto &entry) {
        return !helps(entry.second);
    });
}

Instant PlanFetchScheduler::storeHasUntil() const
{
    if (!m_storeReachable) {
        return m_first->since + m_options.storeTime;
    }
    const std::chrono::duration<double> transfer(static_cast<double>(m_documentBytes) / m_options.storeSpeed);
    const Duration wanted = m_options.storeTime + std::chrono::duration_cast<Duration>(transfer);
    return m_first->since + std::min(wanted, m_options.longestStoreTime);
}

std::optional<Instant> PlanFetchScheduler::due() const
{
    std::optional<Instant> rested;
    for (const auto &[address, peer] : m_peers) {
        if (helps(peer) && (!rested || peer.restsUntil < *rested)) {
            rested = peer.restsUntil;
        }
    }
    if (!m_first || !rested) {
        return std::nullopt;
    }
    return std::max(storeHasUntil(), *rested);
}

std::optional<PlanFetchScheduler::Ask> PlanFetchScheduler::next(Instant now) const
{
    if (!m_first || now < storeHasUntil()) {
        return std::nullopt;
    }
    // Whoever can go on with a document that was begun comes first: nothing is sent twice.
    const auto rank = [this](const auto &entry) {
        const bool begunThere = m_begun.version != 0 && entry.first == m_begunFrom;
        const bool hasBegun = m_begun.version != 0 && entry.second.version == m_begun.version;
        const std::uint64_t order = mixed(stableHash(m_options.self) ^ stableHash(entry.first));
        return std::tuple(begunThere, hasBegun, entry.second.version, order);
    };
    const auto *best = static_cast<const std::pair<const std::string, Peer> *>(nullptr);
    for (const auto &entry : m_peers) {
        const bool asked = helps(entry.second) && now >= entry.second.restsUntil;
        if (asked && (best == nullptr || rank(entry) > rank(*best))) {
            best = &entry;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return Ask{.peer = best->first,
               .newerThan = m_inForce,
               .version = m_begun.version,
               .offset = m_begun.bytes.size(),
               .mostBytes = m_options.pieceBytes};
}

std::optional<std::string> PlanFetchScheduler::answered(const std::string &peer, PlanPiece piece, Instant now)
{
    heard(peer, piece.version, now);
    const bool goesOn = piece.version == m_begun.version && piece.offset == m_begun.bytes.size();
    const bool useful = piece.version > m_inForce && !piece.bytes.empty() && (goesOn || piece.offset == 0);
    if (!useful) {
        failed(peer, now);
        return std::nullopt;
    }
    if (goesOn) {
        m_begun.bytes += piece.bytes;
    } else {
        m_begun = std::move(piece);
    }
    m_begunFrom = peer;
    if (m_begun.totalBytes > m_begun.bytes.size()) {
        return std::nullopt;
    }
    return std::exchange(m_begun, {}).bytes;
}

void PlanFetchScheduler::failed(const std::string &peer, Instant now)
{
    m_peers[peer].restsUntil = now + m_options.peerRest;
}

}
