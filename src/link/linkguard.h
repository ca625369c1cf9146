#pragma once

#include "link/strangers.h"

#include <zmq.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace bamboohold {

/// Watches who connects to a listening socket of ZeroMQ, which has no limits of its own for connections, and ends connections of strangers
/// that take too much. Used on the thread that owns the socket.
class LinkGuard
{
public:
    /// `port` is the one that the socket listens on.
    LinkGuard(zmq::context_t &context, zmq::socket_t &socket, std::uint16_t port, Strangers::Options options);
    ~LinkGuard();

    LinkGuard(const LinkGuard &) = delete;
    LinkGuard &operator=(const LinkGuard &) = delete;

    /// The socket on which connections are reported, to be polled.
    void *handle()
    {
        return m_events.handle();
    }

    /// The hosts of all known peers, by IP address.
    void setKnownHosts(std::set<std::string> hosts);

    /// Looks at new connections, and at what strangers have sent.
    void check();

    /// Whether strangers are connected, so that check() is to be called regularly.
    bool watching() const
    {
        return !m_strangers.empty();
    }

    /// The number of connections that it has ended.
    std::uint64_t ended() const
    {
        return m_ended;
    }

private:
    void readEvents();
    void accept(int descriptor);
    void end(int descriptor);

    std::uint16_t m_port;
    zmq::socket_t &m_socket;
    zmq::socket_t m_events;
    std::set<std::string> m_knownHosts;
    /// By ZeroMQ's descriptors, which it may close at any time, and what is connected there.
    Strangers m_strangers;
    std::map<int, std::string> m_peers;
    std::uint64_t m_ended = 0;
};

}
