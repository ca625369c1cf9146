#pragma once

#include "link/link.pb.h"

#include <absl/container/flat_hash_set.h>
#include <absl/status/status.h>
#include <oneapi/tbb/concurrent_queue.h>
#include <zmq.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace bamboohold {

/// The process's one socket to its peers. A thread of its own owns the socket; other threads hand it messages through a queue.
///
/// A message can be lost (peer gone, queue full) or arrive after a reconnect, never twice on one connection and never out of order; every
/// protocol on top numbers what must not be lost and names the incarnation it is meant for.
class LinkHub
{
public:
    struct Options {
        /// This process's incarnation; peers answer to it.
        std::string identity;
        /// ZeroMQ endpoint to listen on, such as tcp://127.0.0.1:7400.
        std::string endpoint;
        /// Messages queued for one peer before further ones are dropped.
        int queueLength = 100'000;
    };

    /// Called on the link's thread with the peer's identity.
    using Handler = std::function<void(std::string_view peer, wire::Envelope &message)>;

    LinkHub(Options options, Handler handler);
    ~LinkHub();

    LinkHub(const LinkHub &) = delete;
    LinkHub &operator=(const LinkHub &) = delete;

    /// Listens and starts the thread; a taken address is an InvalidSetting.
    absl::Status open();

    /// Connects to a peer that will be known by this name here. Connecting again is harmless.
    void connect(std::string peer, std::string endpoint);

    /// Breaks the connection to a peer.
    void disconnect(std::string peer, std::string endpoint);

    /// Queues a message; never blocks.
    void send(std::string_view peer, const wire::Envelope &message);

    /// Messages that could not be handed to a peer.
    std::uint64_t dropped() const
    {
        return m_dropped.load(std::memory_order_relaxed);
    }

    /// Bytes sent and received so far, without what dispatches and frames carry for callers.
    std::uint64_t controlBytes() const
    {
        return m_controlBytes.load(std::memory_order_relaxed);
    }

private:
    struct Command {
        enum class Kind {
            Send,
            Connect,
            Disconnect,
        };

        Kind kind = Kind::Send;
        std::string peer;
        std::string content;
    };

    void run();
    void wake();
    void execute(Command &command);
    void receive();

    Options m_options;
    Handler m_handler;
    zmq::context_t m_context;
    zmq::socket_t m_socket;
    oneapi::tbb::concurrent_queue<Command> m_commands;
    absl::flat_hash_set<std::string> m_connected;
    std::atomic<bool> m_wakePending = false;
    std::atomic<bool> m_stopping = false;
    std::atomic<std::uint64_t> m_dropped = 0;
    std::atomic<std::uint64_t> m_controlBytes = 0;
    int m_wakeDescriptor = -1;
    std::thread m_thread;
};

}
