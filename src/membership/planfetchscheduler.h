#pragma once

#include "clock/instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bamboohold {

/// A piece of a configuration document as sent by one peer.
struct PlanPiece {
    std::uint64_t version = 0;
    std::string bytes;
    /// Position of the piece in the document and size of the document in bytes. A size of 0 means that the piece is the whole document.
    std::uint64_t offset = 0;
    std::uint64_t totalBytes = 0;
};

/// Schedules requests for a configuration that is in force at peers and has not arrived from the store.
///
/// The store is preferred and gets time in proportion to the size of the document in force, because both transfers share the router's link.
/// After that one peer at a time is asked for one piece at a time. If all peers were asked for the whole document at once, they would fill
/// a slow link with copies that nobody waits for any more, and every other call would time out behind them. If a peer stops answering, the
/// pieces received so far are kept and another peer continues from there.
///
/// Free of side effects: all events and the current time are passed in.
class PlanFetchScheduler
{
public:
    struct Options {
        /// The link address of this router. Each router ranks peers with the same version differently, so that one peer does not serve all
        /// routers.
        std::string self;
        /// Time within which a small document arrives from the store.
        Duration baseStoreWait = std::chrono::milliseconds(250);
        /// Minimum rate, in bytes per second, at which a large document is assumed to arrive from the store: half of what a link of 10
        /// Mbit/s, the slowest known, carries as base64.
        double storeBytesPerSecond = 0.45e6;
        /// Maximum wait for the store.
        Duration maxStoreWait = std::chrono::seconds(3);
        /// Takes 26 ms on a link of 10 Mbit/s, so that calls queued behind a piece do not time out.
        std::uint32_t pieceBytes = 32 * 1024;
        /// Backoff of a peer that did not answer or turned out to have no newer version.
        Duration failedPeerBackoff = std::chrono::seconds(1);
    };

    /// A request for a piece, and the peer to send it to.
    struct PieceRequest {
        std::string peer;
        /// The version in force at this router.
        std::uint64_t newerThan = 0;
        /// Version of the partially received document; 0 if there is none.
        std::uint64_t version = 0;
        std::uint64_t offset = 0;
        std::uint32_t maxBytes = 0;
    };

    explicit PlanFetchScheduler(Options options);

    /// Records that a peer has this version in force.
    void recordPeerVersion(const std::string &peer, std::uint64_t version, Instant now);

    /// Records the version that is in force at this router and the size of its document.
    void setVersionInForce(std::uint64_t version, std::size_t documentBytes);

    /// Sets whether the store is reachable. If it is not, the wait for it is only baseStoreWait.
    void setStoreReachable(bool reachable)
    {
        m_storeReachable = reachable;
    }

    /// When to call nextPieceRequest() next; none while no newer version is known.
    std::optional<Instant> nextRequestDue() const;

    /// The next request to send; none before its time and while every peer with a newer version backs off. Only one request may be
    /// outstanding: each must be followed by recordPiece() or recordRequestFailure().
    std::optional<PieceRequest> nextPieceRequest(Instant now) const;

    /// Records a piece received from the peer. Returns the document once it is complete. A piece that is of no use backs the peer off.
    std::optional<std::string> recordPiece(const std::string &peer, PlanPiece piece, Instant now);

    /// Records that the peer did not answer or has no newer version, and backs it off.
    void recordRequestFailure(const std::string &peer, Instant now);

private:
    /// A version, and when it first became known.
    struct KnownVersion {
        std::uint64_t version = 0;
        Instant since{};
    };

    struct Peer {
        std::uint64_t version = 0;
        Instant backoffUntil{};
    };

    bool hasNewerVersion(const Peer &peer) const
    {
        return peer.version > m_versionInForce;
    }

    Instant storeWaitEnd() const;

    Options m_options;
    std::map<std::string, Peer> m_peers;
    std::uint64_t m_versionInForce = 0;
    std::size_t m_documentBytes = 0;
    bool m_storeReachable = true;
    /// The first version recorded that is newer than the one in force, and the newest one. While changes follow each other, the wait for
    /// the store counts from the first.
    std::optional<KnownVersion> m_firstNewer;
    std::optional<KnownVersion> m_newestKnown;
    /// The pieces of a document received so far, and their sender. The sender keeps that version until this router has all of it, even if a
    /// newer one comes into force.
    PlanPiece m_partialDocument;
    std::string m_partialDocumentSource;
};

}
