#pragma once

#include "routing/coldadmissions.h"
#include "routing/limitadmissions.h"
#include "routing/listreport.h"
#include "routing/loadaggregator.h"
#include "routing/streamoriginstore.h"

#include <absl/status/status.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include <cstdint>
#include <functional>

namespace bamboohold {

namespace wire {
class LoadAnswer;
class LoadNote;
}

/// Answers queries of routers about the load of the target on this host, and whether they may send it a request while it is cold or limits
/// its rate. Also keeps where streams began, for routers that continue them. Runs in the relay beside a target. Routers also run it, to
/// answer each other's queries about targets without a relay.
///
/// Uses UDP: a late answer is useless, and the 180 connections that each router would need take more memory than everything else that it
/// keeps about targets. Routers also answer each other how the store has served the list of targets.
///
/// Reports are not authenticated: anyone who can reach the port can report a load, just as anyone who can reach the relay's port can use
/// the relay. False reports cost only time. They influence the choice among targets, and each target still accepts or declines a request
/// by itself.
class LoadServer
{
public:
    LoadServer(boost::asio::any_io_executor executor, boost::asio::ip::udp::endpoint listen);

    /// Sets what routers are told of the list of targets. Without it they get no answer to such questions.
    void setListReporter(std::function<ListReport()> reportList)
    {
        m_reportList = std::move(reportList);
    }

    /// Binds the socket and starts to serve. InvalidSetting when the socket cannot be opened or the address is in use.
    absl::Status open();

    /// The UDP port that it is bound to.
    std::uint16_t port() const;

private:
    boost::asio::awaitable<void> serve();
    /// Applies a router's note, and fills in the answer.
    void handleNote(const wire::LoadNote &note, wire::LoadAnswer &answer);
    /// Keeps where a stream began, or fills in what is known about it.
    void handleStreamNote(const wire::LoadNote &note, wire::LoadAnswer &answer);

    boost::asio::ip::udp::endpoint m_listen;
    std::function<ListReport()> m_reportList;
    boost::asio::ip::udp::socket m_socket;
    LoadAggregator m_loads;
    ColdAdmissions m_cold;
    LimitAdmissions m_limits;
    StreamOriginStore m_streams;
};

}
