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

/// What a router knows of the other router incarnations: their rows in the table and their heartbeats.
///
/// Pure. An incarnation is suspected only when both its heartbeats and its row have stood still for the whole window: a router cut off from
/// its peers still writes its row, one cut off from the table still sends heartbeats.
class PeerDirectory
{
public:
    struct Options {
        std::string self;
        /// Silence after which an incarnation is suspected.
        Duration suspicionTimeout = std::chrono::seconds(15);
        /// Extra time for each place in the order of live routers, so that they do not all set to work on one death.
        Duration suspicionStagger = std::chrono::seconds(1);
        /// A peer heard of within this time can be asked for help.
        Duration recentPeerWindow = std::chrono::seconds(3);
    };

    /// A peer and where its link listens.
    struct Peer {
        std::string incarnation;
        std::string address;
    };

    explicit PeerDirectory(Options options);

    /// The rows of all incarnations, as just read.
    void updateRows(std::span<const TableRow> rows, Instant now);

    /// A message of the peer arrived.
    void recordMessage(std::string_view peer, Instant now);

    /// Live incarnations other than this router.
    std::vector<Peer> peers() const;

    /// Live incarnations, this one included.
    std::size_t liveRouterCount() const;

    /// Peers heard of a moment ago.
    std::vector<std::string> recentPeers(Instant now) const;

    /// Incarnations that seem dead, with their rows.
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
