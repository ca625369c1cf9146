#pragma once

#include "clock/instant.h"
#include "overload/clientquota.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace bamboohold {

class ClientResources;
enum class ClientRefusal;

/// What one connection of a client takes of the resources of its process, from its acceptance to its end. Without resources everything is
/// granted. Bound to the event loop of the connection.
class ClientConnection
{
public:
    /// Outlives the connection for those who still have to tell it something.
    struct State {
        explicit State(const boost::asio::any_io_executor &executor)
            : roomReleased(executor)
        {
        }

        boost::asio::steady_timer roomReleased;
        /// Null once the connection has ended.
        std::function<void()> onYield;
    };

    /// `onYield` is called on the connection's loop if it has to end for others.
    ClientConnection(std::shared_ptr<ClientResources> resources,
                     ClientSocket socket,
                     const boost::asio::any_io_executor &executor,
                     std::function<void()> onYield);
    ~ClientConnection();

    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    /// Whether there is a place for it.
    bool accepted() const
    {
        return !m_resources || m_id;
    }

    /// Goes on with a phase. Returns false if there is no place for another request.
    bool setPhase(ClientPhase phase);

    /// Asks for room for a request that takes `bytes` by now and may take `most`; the first does not wait for it. False if there is none.
    bool tryGrowRequest(std::uint64_t bytes, std::uint64_t most);
    boost::asio::awaitable<bool> growRequest(std::uint64_t bytes, std::uint64_t most);

    /// Asks for room for an answer, of which the client has not got anything yet. False if there was none until then.
    boost::asio::awaitable<bool> growAnswer(std::uint64_t bytes, std::uint64_t most, Instant by);

    /// The answer is complete, and the client is expected to read it.
    void answerComplete();

    /// Bytes are being written that the client is expected to read, or all have been.
    void setWriting(bool writing);

    /// The client has sent so many bytes of its request, or taken so many of its answer.
    void recordProgress(std::uint64_t bytes);

    /// The request has been answered.
    void releaseRequest();

    /// Why it has to end.
    ClientQuota::Yield yields() const;

    /// How long its client is told to wait after a refusal.
    Duration retryTime() const;

    /// Counts and logs why the client was refused or its connection closed.
    void countRefusal(ClientRefusal refusal);

private:
    using Grow = bool (ClientResources::*)(ClientQuota::Id, std::uint64_t, std::uint64_t);

    boost::asio::awaitable<bool> waitForRoom(Grow grow, std::uint64_t bytes, std::uint64_t most, Instant by);

    std::shared_ptr<ClientResources> m_resources;
    ClientSocket m_socket;
    std::shared_ptr<State> m_state;
    std::optional<ClientQuota::Id> m_id;
    /// Room that its answer has beyond that of the connection.
    bool m_answerHeld = false;
};

}
