#pragma once

#include "clock/instant.h"
#include "store/table.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// Tracks the other router incarnations by their rows in the table and by their heartbeats.
///
/// An incarnation is suspected only if neither a heartbeat nor a change of its row was seen for the whole timeout: a router that is cut off
/// from its peers still writes its row, and one that is cut off from the table still sends heartbeats.
///
/// Free of side effects: all events and the current time are passed in.
class PeerDirectory
{
public:
    struct Options {
        std::string self;
        /// An incarnation is suspected after this time without a heartbeat or a change of its row.
        Duration suspicionTimeout = std::chrono::seconds(15);
        /// Added to the timeout for each live router that precedes this one in the order of incarnations, so that not all routers start to
        /// recover the same dead router.
        Duration suspicionStagger = std::chrono::seconds(1);
        /// A peer whose last message is at most this old can be asked to relay calls.
        Duration recentPeerWindow = std::chrono::seconds(3);
    };

    /// A peer and the address that its link listens on.
    struct Peer {
        std::string incarnation;
        std::string address;
    };

    explicit PeerDirectory(Options options);

    /// Replaces the known incarnations by the rows of a read of the whole table.
    void updateRows(std::span<const TableRow> rows, Instant now);

    /// Records that a message of the peer arrived. Ignored for an incarnation without a row.
    void recordMessage(std::string_view peer, Instant now);

    /// Live incarnations other than this router.
    std::vector<Peer> peers() const;

    /// Number of live incarnations, including this one.
    std::size_t liveRouterCount() const;

    /// Peers from which a message arrived within recentPeerWindow.
    std::vector<std::string> recentPeers(Instant now) const;

    /// Rows of the incarnations that are suspected to be dead.
    std::vector<TableRow> suspects(Instant now) const;

private:
    struct Entry {
        TableRow row;
        Instant rowChangedAt;
        std::optional<Instant> lastMessageAt;
    };

    Duration suspicionDelay() const;
    static std::string state(const Entry &entry);

    Options m_options;
    std::map<std::string, Entry, std::less<>> m_entries;
};

}
