#pragma once

#include "clock/instant.h"
#include "net/workerpool.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bamboohold {

/// How a scripted peer ends an answer.
enum class PeerEnding {
    /// Keeps the connection for the next request.
    Keep,
    /// Closes it in good order.
    Close,
    /// Resets it.
    Reset,
    /// Says nothing further and keeps it open.
    Silent,
};

/// What a scripted peer does with one request: bytes as they stand on the wire, well-formed or not.
struct PeerAction {
    std::string bytes;
    PeerEnding ending = PeerEnding::Keep;
};

/// A server on loopback that answers each request, in the order of arrival, with the next action of a script; the last one repeats. Records
/// what it was sent. For one event loop.
class ScriptedPeer
{
public:
    ScriptedPeer(WorkerPool &pool, std::vector<PeerAction> script);

    /// Its address as ADDRESS:PORT.
    std::string address() const;

    /// Another script from now on.
    void setScript(std::vector<PeerAction> script)
    {
        m_script = std::move(script);
    }

    /// A request with this text in it crashes the peer as soon as it has come.
    void crashOn(std::string text)
    {
        m_crashText = std::move(text);
    }

    /// Ends: every connection is closed, and new ones are refused, at once or after a while in which the system still takes them.
    void crash(Duration lingering = Duration::zero());

    /// Crashes refuse new connections only after this long.
    void lingerAfterCrash(Duration lingering)
    {
        m_lingering = lingering;
    }

    /// True after a crash.
    bool crashed() const
    {
        return m_crashed;
    }

    /// Requests so far: head and body as they came.
    const std::vector<std::string> &requests() const
    {
        return m_requests;
    }

    /// Connections that were opened.
    std::size_t connections() const
    {
        return m_connections;
    }

    /// Connections that the caller closed or reset.
    std::size_t closedByCaller() const
    {
        return m_closedByCaller;
    }

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_address;
    std::string m_crashText;
    bool m_crashed = false;
    Duration m_lingering{};
    /// Those that are open. Shared, because the loop may end its coroutines after the peer is gone.
    std::shared_ptr<std::set<boost::asio::ip::tcp::socket *>> m_sockets = std::make_shared<std::set<boost::asio::ip::tcp::socket *>>();
    std::vector<PeerAction> m_script;
    std::vector<std::string> m_requests;
    std::size_t m_connections = 0;
    std::size_t m_closedByCaller = 0;
};

/// An answer with a length.
std::string completeResponse(unsigned status, const std::string &headers, const std::string &body);

/// The head of a chunked answer.
std::string streamResponseHead(const std::string &headers);

/// One chunk; an empty one ends the answer.
std::string chunk(const std::string &data);

}
