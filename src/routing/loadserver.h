#pragma once

#include "routing/coldadmissions.h"
#include "routing/limitadmissions.h"
#include "routing/loadaggregator.h"

#include <absl/status/status.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include <cstdint>

namespace bamboohold {

namespace wire {
class LoadAnswer;
class LoadNote;
}

/// Answers routers' questions about the load of the target on this host, and whether they may send it a request while it is cold or limits
/// what it takes. Runs in the relay beside a target; the routers answer each other's questions about targets that have none. Datagrams: an
/// answer that comes late is worth nothing, and 180 connections a router would take more memory than all else that it keeps of targets.
///
/// Whoever reaches the port can report loads, as whoever reaches the relay's can use it. False ones cost time only: they choose among
/// targets, and a target admits or declines by itself.
class LoadServer
{
public:
    LoadServer(boost::asio::any_io_executor executor, boost::asio::ip::udp::endpoint listen);

    /// Listens; a taken address is an InvalidSetting.
    absl::Status open();

    /// The port it listens on.
    std::uint16_t port() const;

private:
    boost::asio::awaitable<void> serve();
    /// Takes a note, and fills in the answer to it.
    void handleNote(const wire::LoadNote &note, wire::LoadAnswer &answer);

    boost::asio::ip::udp::endpoint m_listen;
    boost::asio::ip::udp::socket m_socket;
    LoadAggregator m_loads;
    ColdAdmissions m_cold;
    LimitAdmissions m_limits;
};

}
