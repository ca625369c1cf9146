#pragma once

#include "clock/instant.h"
#include "link/link.pb.h"
#include "link/linkguard.h"

#include <absl/container/flat_hash_set.h>
#include <absl/status/status.h>
#include <oneapi/tbb/concurrent_queue.h>
#include <zmq.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace bamboohold {

/// The socket through which a process exchanges messages with its peers. A dedicated thread owns the socket; other threads pass it commands
/// through a queue.
///
/// A message can be lost (the peer is gone or the queue is full) or arrive after a reconnect, but within one connection it is never
/// duplicated or reordered. Protocols on top of this number the messages that must not be lost and name the incarnation that they are meant
/// for.
class LinkHub
{
public:
    struct Options {
        /// The incarnation of this process, by which peers address it.
        std::string identity;
        /// ZeroMQ endpoint to listen on, such as tcp://127.0.0.1:7400.
        std::string endpoint;
        /// Maximum number of messages queued for one peer; further ones are dropped.
        int queueLength = 100'000;
        /// How long messages that have arrived are handled at most when the link closes. The destructor then waits as long at most until
        /// the messages that are queued have been sent; a peer that cannot be reached takes all of it.
        Duration closeTime = std::chrono::milliseconds(500);
        /// The longest message that is accepted, in bytes. A peer that sends a longer one is disconnected.
        std::int64_t maxMessageBytes = 16 * 1024 * 1024;
        /// What connections from hosts that are not known may take.
        Strangers::Options strangers;
    };

    /// Called on the link's thread with the peer's identity.
    using Handler = std::function<void(std::string_view peer, wire::Envelope &message)>;

    LinkHub(Options options, Handler handler);
    ~LinkHub();

    LinkHub(const LinkHub &) = delete;
    LinkHub &operator=(const LinkHub &) = delete;

    /// Starts to listen and starts the thread. Fails with InvalidSetting if the address is in use.
    absl::Status open();

    /// Handles the messages that have arrived, sends those that are queued, and closes the connections. No message is handled or sent
    /// afterwards. The destructor calls it, too.
    void close();

    /// Connects to a peer and assigns it this name. Has no effect if already connected.
    void connect(std::string peer, std::string endpoint);

    /// Closes the connection to a peer.
    void disconnect(std::string peer, std::string endpoint);

    /// Sets the hosts of all peers that are known, by IP address. Connections from other hosts are limited.
    void setKnownHosts(const std::set<std::string> &hosts);

    /// Queues a message without blocking.
    void send(std::string_view peer, const wire::Envelope &message);

    /// Number of messages that could not be sent and of connection commands that failed.
    std::uint64_t dropped() const
    {
        return m_dropped.load(std::memory_order_relaxed);
    }

    /// Bytes of control messages sent and received so far: everything except dispatches, frames, credits and cancellations.
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
            /// The hosts in `content`, separated by spaces, are known.
            KnownHosts,
        };

        Kind kind = Kind::Send;
        std::string peer;
        std::string content;
    };

    void run();
    void wake();
    void execute(Command &command);
    void executeQueued();
    /// Handles messages that have arrived, up to a maximum. Returns whether there were any.
    bool receive();

    Options m_options;
    Handler m_handler;
    zmq::context_t m_context;
    zmq::socket_t m_socket;
    /// From open() on; used on the link's thread.
    std::unique_ptr<LinkGuard> m_guard;
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
