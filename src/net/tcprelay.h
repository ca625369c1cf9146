#pragma once

#include "clock/instant.h"

#include <absl/status/status.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>

namespace bamboohold {

/// Passes bytes between whoever connects and one fixed endpoint, and knows nothing of what they mean.
///
/// A router that is cut off from the store still reaches hosts that are not. A relay there gives it a second way to the store, so that a
/// cut of a router's own path stops neither its budgets nor its configurations. The relay keeps no state: what it may do to a call is what
/// a bad connection may do, and the store's conditional writes stand that.
class TcpRelay
{
public:
    struct Options {
        boost::asio::ip::tcp::endpoint listen;
        boost::asio::ip::tcp::endpoint upstream;
        /// Opening a connection to the store takes a few milliseconds; callers wait no longer than this for it.
        Duration connectTimeout = std::chrono::milliseconds(600);
        /// A connection that passed nothing for this long is given up: a caller without power never closes its end. Callers keep idle
        /// connections for some seconds, and the store holds a call back for 1.5 s at most.
        Duration idleTimeout = std::chrono::seconds(20);
        /// Connections at one time; each takes two descriptors of the 3,900 that a small process has, and 16 KiB.
        std::size_t maxConnections = 512;
    };

    TcpRelay(boost::asio::any_io_executor executor, Options options);

    /// Listens; a taken address is an InvalidSetting.
    absl::Status open();

    /// Takes no further connection. Those that are open go on until their ends close.
    void close();

    /// The port it listens on.
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
    std::size_t m_openSessions = 0;
};

}
