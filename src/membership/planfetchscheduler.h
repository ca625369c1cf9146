#pragma once

#include "clock/instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bamboohold {

/// A piece of a configuration document, as one peer sends it.
struct PlanPiece {
    std::uint64_t version = 0;
    std::string bytes;
    /// Where the piece begins, and how long the document is; 0: the piece is all of it.
    std::uint64_t offset = 0;
    std::uint64_t totalBytes = 0;
};

/// Decides when and from whom a router takes a configuration that peers have in force and the store has not brought.
///
/// The store's own way comes first, and gets time by the size of the document in force: both ways share the router's link. Then one peer at
/// a time is asked, for one piece at a time. Asked all at once for all of it, peers would fill a slow link with copies
/// that nobody waits for any more, and every other call would time out behind them. What has come stays when a peer falls silent: another
/// one goes on where it stopped.
///
/// Pure: events and `now` in.
class PlanFetchScheduler
{
public:
    struct Options {
        /// This router's link address: peers with the same version are ranked differently by each router, so that one peer does not serve
        /// all.
        std::string self;
        /// The store brings a small document within this.
        Duration baseStoreWait = std::chrono::milliseconds(250);
        /// And a large one at this speed or more, in bytes a second: half of what a link of 10 Mbit/s, the slowest known, carries as
        /// base64.
        double storeBytesPerSecond = 0.45e6;
        /// It is not waited for longer than this.
        Duration maxStoreWait = std::chrono::seconds(3);
        /// 26 ms of a link of 10 Mbit/s: calls behind a piece still come in time.
        std::uint32_t pieceBytes = 32 * 1024;
        /// A peer that did not answer, or that had no newer version after all, is left alone for this long.
        Duration failedPeerBackoff = std::chrono::seconds(1);
    };

    /// What to ask of whom.
    struct PieceRequest {
        std::string peer;
        /// The version in force here.
        std::uint64_t newerThan = 0;
        /// The document that was begun; 0 when none was.
        std::uint64_t version = 0;
        std::uint64_t offset = 0;
        std::uint32_t maxBytes = 0;
    };

    explicit PlanFetchScheduler(Options options);

    /// A peer has this version in force.
    void recordPeerVersion(const std::string &peer, std::uint64_t version, Instant now);

    /// This router has this version in force; its document is this long.
    void setVersionInForce(std::uint64_t version, std::size_t documentBytes);

    /// Whether the store can be waited for.
    void setStoreReachable(bool reachable)
    {
        m_storeReachable = reachable;
    }

    /// When next() is worth a call; none while nothing newer is known of.
    std::optional<Instant> nextRequestDue() const;

    /// The next piece to ask for; none before its time, or while every peer that could help rests. One ask at a time: each is followed by
    /// answered() or failed().
    std::optional<PieceRequest> nextPieceRequest(Instant now) const;

    /// The peer's answer. Returns the document once it is whole.
    std::optional<std::string> recordPiece(const std::string &peer, PlanPiece piece, Instant now);

    /// The peer did not answer, or has no newer version.
    void recordRequestFailure(const std::string &peer, Instant now);

private:
    /// A version that was heard of, and when first.
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
    /// The first version heard of that is newer than the one in force, and the newest: while changes follow each other, the time that the
    /// store has counts from the first.
    std::optional<KnownVersion> m_firstNewer;
    std::optional<KnownVersion> m_newestKnown;
    /// What has come of a document, and from whom. That peer keeps the document until it is whole here, also when it has a newer one.
    PlanPiece m_partialDocument;
    std::string m_partialDocumentSource;
};

}
