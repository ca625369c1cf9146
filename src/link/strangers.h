#pragma once

#include "clock/instant.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace bamboohold {

/// Decides which connections to a link end because their hosts are not among the peers that this process knows.
///
/// A peer that has just started is such a stranger, too, until the list of peers shows it: it connects and sends a few messages. So
/// strangers may have a number of connections, the oldest of which ends for a new one, and only so many bytes together, beyond which the
/// one that has sent most ends. Pure: events and sizes in.
class Strangers
{
public:
    /// The descriptor of a connection.
    using Id = int;

    struct Options {
        std::size_t maxConnections = 512;
        /// Bytes received on all of their connections together, and on one of them.
        std::uint64_t maxBytes = std::numeric_limits<std::uint64_t>::max();
        std::uint64_t maxBytesEach = std::numeric_limits<std::uint64_t>::max();
    };

    explicit Strangers(Options options);

    /// What strangers may take of a process with so much memory and so many descriptors; 0: not stated.
    static Options optionsFor(double memoryMb, double maxDescriptors);

    /// A stranger has connected.
    void connected(Id id, std::string host);

    void disconnected(Id id);

    /// How many bytes were received from it so far.
    void recordReceived(Id id, std::uint64_t bytes);

    /// Forgets the connections of a host that is known from now on. Returns them.
    std::vector<Id> becameKnown(const std::string &host);

    /// The connections that are to end. They are forgotten.
    std::vector<Id> takeEnding();

    std::vector<Id> connections() const;

    bool empty() const
    {
        return m_connections.empty();
    }

private:
    struct Connection {
        std::string host;
        std::uint64_t order = 0;
        std::uint64_t received = 0;
    };

    Options m_options;
    std::map<Id, Connection> m_connections;
    std::uint64_t m_nextOrder = 0;
};

}
