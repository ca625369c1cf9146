#pragma once

#include "clock/instant.h"

#include <absl/status/status.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>

namespace bamboohold {

/// Forwards TCP connections to one fixed endpoint without interpreting the data.
///
/// A router that cannot reach the store may still reach hosts that can. A relay on such a host gives it a second path to the store, so that
/// losing its own path affects neither its budgets nor its configuration. The relay keeps no state. It can affect a call only in ways in
/// which an unreliable connection can, and the store's conditional writes are safe against those.
class TcpRelay
{
public:
    struct Options {
        boost::asio::ip::tcp::endpoint listen;
        boost::asio::ip::tcp::endpoint upstream;
        /// Connecting to the store normally takes a few milliseconds. Callers wait at most this long for it.
        Duration connectTimeout = std::chrono::milliseconds(600);
        /// A connection without traffic for this long is closed, because a caller that lost power never closes its end. Callers keep idle
        /// connections for some seconds, and the store delays an answer by at most 1.5 s.
        Duration idleTimeout = std::chrono::seconds(20);
        /// Maximum number of concurrent connections. Each uses 16 KiB and two file descriptors.
        std::size_t maxConnections = 512;
        /// One that has carried nothing for this long yields to a new one if there are as many.
        Duration yieldTime = std::chrono::seconds(1);
    };

    /// The most connections of a process with so many descriptors; 0: not stated.
    static std::size_t connectionsFor(double maxDescriptors);

    TcpRelay(boost::asio::any_io_executor executor, Options options);

    /// Starts listening. Fails with InvalidSetting when the address is in use.
    absl::Status open();

    /// Stops accepting connections. Open connections continue until one of their ends closes.
    void close();

    /// Returns the port that the relay listens on.
    std::uint16_t port() const;

private:
    struct Session;
    using SessionPtr = std::shared_ptr<Session>;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(SessionPtr session);
    boost::asio::awaitable<void> enforceDeadline(SessionPtr session);
    boost::asio::awaitable<void> forwardBytes(SessionPtr session, bool fromCaller);

    boost::asio::any_io_executor m_executor;
    Options m_options;
    boost::asio::ip::tcp::acceptor m_acceptor;
    /// Ends the session that has carried nothing for longest, so that a new one finds a place. Returns whether there is one.
    bool makePlace();

    /// All open sessions.
    std::set<SessionPtr> m_sessions;
    /// Connections for which there was no place at first, and when that was logged.
    std::int64_t m_refused = 0;
    Instant m_refusalLoggedAt{};
};

}
