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

void PlanFetchScheduler::recordPeerVersion(const std::string &peer, std::uint64_t version, Instant now)
{
    Peer &known = m_peers[peer];
    known.version = std::max(known.version, version);
    if (version <= m_versionInForce) {
        return;
    }
    if (!m_firstNewer) {
        m_firstNewer = KnownVersion{.version = version, .since = now};
    }
    if (!m_newestKnown || version > m_newestKnown->version) {
        m_newestKnown = KnownVersion{.version = version, .since = now};
    }
}

void PlanFetchScheduler::setVersionInForce(std::uint64_t version, std::size_t documentBytes)
{
    m_versionInForce = std::max(m_versionInForce, version);
    m_documentBytes = documentBytes;
    if (m_partialDocument.version <= m_versionInForce) {
        m_partialDocument = {};
    }
    if (m_newestKnown && m_newestKnown->version <= m_versionInForce) {
        m_newestKnown.reset();
    }
    if (m_firstNewer && m_firstNewer->version <= m_versionInForce) {
        m_firstNewer = m_newestKnown;
    }
    std::erase_if(m_peers, [this](const auto &entry) {
        return !hasNewerVersion(entry.second);
    });
}

Instant PlanFetchScheduler::storeWaitEnd() const
{
    if (!m_storeReachable) {
        return m_firstNewer->since + m_options.baseStoreWait;
    }
    const std::chrono::duration<double> transfer(static_cast<double>(m_documentBytes) / m_options.storeBytesPerSecond);
    const Duration storeWait = m_options.baseStoreWait + std::chrono::duration_cast<Duration>(transfer);
    return m_firstNewer->since + std::min(storeWait, m_options.maxStoreWait);
}

std::optional<Instant> PlanFetchScheduler::nextRequestDue() const
{
    std::optional<Instant> earliestBackoffEnd;
    for (const auto &[address, peer] : m_peers) {
        if (hasNewerVersion(peer) && (!earliestBackoffEnd || peer.backoffUntil < *earliestBackoffEnd)) {
            earliestBackoffEnd = peer.backoffUntil;
        }
    }
    if (!m_firstNewer || !earliestBackoffEnd) {
        return std::nullopt;
    }
    return std::max(storeWaitEnd(), *earliestBackoffEnd);
}

std::optional<PlanFetchScheduler::PieceRequest> PlanFetchScheduler::nextPieceRequest(Instant now) const
{
    if (!m_firstNewer || now < storeWaitEnd()) {
        return std::nullopt;
    }
    // Peers that can continue a partially received document come first, so that no piece is transferred twice.
    const auto rank = [this](const auto &entry) {
        const bool isPartialSource = m_partialDocument.version != 0 && entry.first == m_partialDocumentSource;
        const bool hasPartialVersion = m_partialDocument.version != 0 && entry.second.version == m_partialDocument.version;
        const std::uint64_t order = mixed(stableHash(m_options.self) ^ stableHash(entry.first));
        return std::tuple(isPartialSource, hasPartialVersion, entry.second.version, order);
    };
    const auto *best = static_cast<const std::pair<const std::string, Peer> *>(nullptr);
    for (const auto &entry : m_peers) {
        const bool eligible = hasNewerVersion(entry.second) && now >= entry.second.backoffUntil;
        if (eligible && (best == nullptr || rank(entry) > rank(*best))) {
            best = &entry;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return PieceRequest{.peer = best->first,
                        .newerThan = m_versionInForce,
                        .version = m_partialDocument.version,
                        .offset = m_partialDocument.bytes.size(),
                        .maxBytes = m_options.pieceBytes};
}

std::optional<std::string> PlanFetchScheduler::recordPiece(const std::string &peer, PlanPiece piece, Instant now)
{
    recordPeerVersion(peer, piece.version, now);
    const bool continuesPartial = piece.version == m_partialDocument.version && piece.offset == m_partialDocument.bytes.size();
    const bool useful = piece.version > m_versionInForce && !piece.bytes.empty() && (continuesPartial || piece.offset == 0);
    if (!useful) {
        recordRequestFailure(peer, now);
        return std::nullopt;
    }
    if (continuesPartial) {
        m_partialDocument.bytes += piece.bytes;
    } else {
        m_partialDocument = std::move(piece);
    }
    m_partialDocumentSource = peer;
    if (m_partialDocument.totalBytes > m_partialDocument.bytes.size()) {
        return std::nullopt;
    }
    return std::exchange(m_partialDocument, {}).bytes;
}

void PlanFetchScheduler::recordRequestFailure(const std::string &peer, Instant now)
{
    m_peers[peer].backoffUntil = now + m_options.failedPeerBackoff;
}

}
