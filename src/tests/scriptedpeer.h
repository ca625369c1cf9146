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

/// What a scripted peer does with the connection after a response.
enum class PeerEnding {
    /// Keeps the connection open for the next request.
    Keep,
    /// Closes the connection gracefully.
    Close,
    /// Resets the connection.
    Reset,
    /// Sends nothing more and keeps the connection open.
    Silent,
    /// Ends its side of the connection and reads on.
    Finish,
};

/// What a scripted peer sends in response to one request, as raw bytes that need not be well-formed HTTP, and what it does with the
/// connection then.
struct PeerAction {
    std::string bytes;
    PeerEnding ending = PeerEnding::Keep;
    /// Sent again and again after the bytes, until the caller closes the connection, with a pause before each.
    std::string repeated;
    Duration repeatInterval{};
    /// Sent after a pause that follows the bytes.
    Duration pause{};
    std::string afterPause;
    /// Sent as soon as the head of the request has arrived. The rest of the request is read afterwards.
    bool early = false;
};

/// A server on a loopback address that responds to each request, in order of arrival, with the next action of a script; the last action
/// repeats. Records the requests that it receives. Bound to one event loop.
class ScriptedPeer
{
public:
    ScriptedPeer(WorkerPool &pool, std::vector<PeerAction> script);

    /// The address as ADDRESS:PORT.
    std::string address() const;

    /// Replaces the script. Actions are still counted from the first request that the peer received.
    void setScript(std::vector<PeerAction> script)
    {
        m_script = std::move(script);
    }

    /// Makes the peer crash as soon as it has received a request that contains this text.
    void crashOn(std::string text)
    {
        m_crashText = std::move(text);
    }

    /// Crashes: closes every connection, and refuses new ones either immediately or after a time in which the system still accepts them.
    void crash(Duration lingering = Duration::zero());

    /// Sets the time after a crash during which the system still accepts new connections. Applies to crashes caused by a request.
    void lingerAfterCrash(Duration lingering)
    {
        m_lingering = lingering;
    }

    /// Whether the peer has crashed.
    bool crashed() const
    {
        return m_crashed;
    }

    /// The requests received so far, head and body as they arrived.
    const std::vector<std::string> &requests() const
    {
        return m_requests;
    }

    /// The number of connections accepted.
    std::size_t connections() const
    {
        return m_connections;
    }

    /// The number of connections that the caller closed or reset.
    std::size_t closedByCaller() const
    {
        return m_closedByCaller;
    }

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    const PeerAction &nextAction() const;

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_address;
    std::string m_crashText;
    bool m_crashed = false;
    Duration m_lingering{};
    /// The open connections. Shared, because the event loop may end its coroutines after the peer was destroyed.
    std::shared_ptr<std::set<boost::asio::ip::tcp::socket *>> m_sockets = std::make_shared<std::set<boost::asio::ip::tcp::socket *>>();
    std::vector<PeerAction> m_script;
    std::vector<std::string> m_requests;
    std::size_t m_connections = 0;
    std::size_t m_closedByCaller = 0;
};

/// A response with a Content-Length header.
std::string completeResponse(unsigned status, const std::string &headers, const std::string &body);

/// The head of a chunked response.
std::string streamResponseHead(const std::string &headers);

/// One chunk; an empty one ends the response.
std::string chunk(const std::string &data);

}
