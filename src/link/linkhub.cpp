#include "link/linkhub.h"

#include "clock/steadytime.h"
#include "failure/failure.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace bamboohold {

namespace {

constexpr int s_maxUnacknowledgedMs = 4000;
constexpr int s_maxHandshakeMs = 5000;
constexpr int s_minReconnectIntervalMs = 50;
constexpr int s_maxReconnectIntervalMs = 1000;
/// How often connections of strangers are looked at while there are any, and how long the thread waits otherwise.
constexpr std::chrono::milliseconds s_guardInterval{100};
constexpr std::chrono::milliseconds s_waitInterval{500};
/// Maximum number of messages received before queued commands are processed again.
constexpr int s_maxMessagesPerReceive = 256;

/// The port of an endpoint such as tcp://127.0.0.1:7400; 0 if it has none.
std::uint16_t portOf(std::string_view endpoint)
{
    std::uint32_t port = 0;
    const std::string text(endpoint.substr(endpoint.rfind(':') + 1));
    return absl::SimpleAtoi(text, &port) ? static_cast<std::uint16_t>(port) : 0;
}

bool isControl(const wire::Envelope &message)
{
    switch (message.body_case()) {
    case wire::Envelope::kDispatch:
    case wire::Envelope::kFrame:
    case wire::Envelope::kCredit:
    case wire::Envelope::kCancel:
        return false;
    default:
        return true;
    }
}

}

LinkHub::LinkHub(Options options, Handler handler)
    : m_options(std::move(options))
    , m_handler(std::move(handler))
    , m_context(1)
    , m_socket(m_context, zmq::socket_type::router)
{
}

LinkHub::~LinkHub()
{
    close();
    if (m_wakeDescriptor >= 0) {
        ::close(m_wakeDescriptor);
    }
}

absl::Status LinkHub::open()
{
    m_wakeDescriptor = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    m_socket.set(zmq::sockopt::routing_id, m_options.identity);
    m_socket.set(zmq::sockopt::linger,
                 static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(m_options.closeTime).count()));
    m_socket.set(zmq::sockopt::sndhwm, m_options.queueLength);
    m_socket.set(zmq::sockopt::rcvhwm, m_options.queueLength);
    // Without this option a message to a peer that is gone is dropped silently; with it the send fails and is counted.
    m_socket.set(zmq::sockopt::router_mandatory, true);
    m_socket.set(zmq::sockopt::router_handover, true);
    // A peer whose host has vanished does not close its connection. ZeroMQ's own heartbeats would detect that too, but libzmq 4.3.4 aborts
    // (!_io_error) if one fires on a connection that has just failed. TCP detects it instead: data that stays unacknowledged for this long
    // ends the connection.
    m_socket.set(zmq::sockopt::tcp_maxrt, s_maxUnacknowledgedMs);
    m_socket.set(zmq::sockopt::maxmsgsize, m_options.maxMessageBytes);
    m_socket.set(zmq::sockopt::handshake_ivl, s_maxHandshakeMs);
    m_socket.set(zmq::sockopt::reconnect_ivl, s_minReconnectIntervalMs);
    m_socket.set(zmq::sockopt::reconnect_ivl_max, s_maxReconnectIntervalMs);
    try {
        m_socket.bind(m_options.endpoint);
    } catch (const zmq::error_t &error) {
        return failed(FailureKind::InvalidSetting, absl::StrCat("cannot listen on ", m_options.endpoint, ": ", error.what()));
    }
    const std::uint16_t port = portOf(m_options.endpoint);
    m_guard = std::make_unique<LinkGuard>(m_context, m_socket, port, m_options.strangers);
    m_thread = std::thread([this] {
        run();
    });
    return absl::OkStatus();
}

void LinkHub::wake()
{
    if (m_wakeDescriptor >= 0 && !m_wakePending.exchange(true)) {
        const std::uint64_t one = 1;
        (void)!::write(m_wakeDescriptor, &one, sizeof(one));
    }
}

void LinkHub::close()
{
    m_stopping = true;
    wake();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void LinkHub::connect(std::string peer, std::string endpoint)
{
    m_commands.push({.kind = Command::Kind::Connect, .peer = std::move(peer), .content = std::move(endpoint)});
    wake();
}

void LinkHub::disconnect(std::string peer, std::string endpoint)
{
    m_commands.push({.kind = Command::Kind::Disconnect, .peer = std::move(peer), .content = std::move(endpoint)});
    wake();
}

void LinkHub::setKnownHosts(const std::set<std::string> &hosts)
{
    m_commands.push({.kind = Command::Kind::KnownHosts, .content = absl::StrJoin(hosts, " ")});
    wake();
}

void LinkHub::send(std::string_view peer, const wire::Envelope &message)
{
    Command command{.peer = std::string(peer)};
    message.SerializeToString(&command.content);
    if (isControl(message)) {
        m_controlBytes.fetch_add(command.content.size(), std::memory_order_relaxed);
    }
    m_commands.push(std::move(command));
    wake();
}

void LinkHub::execute(Command &command)
{
    if (command.kind == Command::Kind::Send) {
        try {
            m_socket.send(zmq::buffer(command.peer), zmq::send_flags::sndmore | zmq::send_flags::dontwait);
            m_socket.send(zmq::buffer(command.content), zmq::send_flags::dontwait);
        } catch (const zmq::error_t &) {
            m_dropped.fetch_add(1, std::memory_order_relaxed);
        }
        return;
    }
    if (command.kind == Command::Kind::KnownHosts) {
        m_guard->setKnownHosts(absl::StrSplit(command.content, ' ', absl::SkipEmpty()));
        return;
    }
    const bool connected = m_connected.contains(command.peer);
    try {
        if (command.kind == Command::Kind::Connect && !connected) {
            m_socket.set(zmq::sockopt::connect_routing_id, command.peer);
            m_socket.connect(command.content);
            m_connected.insert(command.peer);
        } else if (command.kind == Command::Kind::Disconnect && connected) {
            m_connected.erase(command.peer);
            m_socket.disconnect(command.content);
        }
    } catch (const zmq::error_t &) {
        m_dropped.fetch_add(1, std::memory_order_relaxed);
    }
}

void LinkHub::executeQueued()
{
    Command command;
    while (m_commands.try_pop(command)) {
        execute(command);
    }
}

bool LinkHub::receive()
{
    wire::Envelope message;
    for (int taken = 0; taken < s_maxMessagesPerReceive; ++taken) {
        zmq::message_t peer;
        zmq::message_t content;
        if (!m_socket.recv(peer, zmq::recv_flags::dontwait)) {
            return taken > 0;
        }
        if (!peer.more() || !m_socket.recv(content, zmq::recv_flags::dontwait)) {
            continue;
        }
        if (message.ParseFromArray(content.data(), static_cast<int>(content.size()))) {
            if (isControl(message)) {
                m_controlBytes.fetch_add(content.size(), std::memory_order_relaxed);
            }
            m_handler(peer.to_string_view(), message);
        }
    }
    return true;
}

void LinkHub::run()
{
    std::array<zmq::pollitem_t, 3> items{
        zmq::pollitem_t{m_socket.handle(), 0, ZMQ_POLLIN, 0},
        zmq::pollitem_t{nullptr, m_wakeDescriptor, ZMQ_POLLIN, 0},
        zmq::pollitem_t{m_guard->handle(), 0, ZMQ_POLLIN, 0},
    };
    Instant guardedAt{};
    while (!m_stopping) {
        zmq::poll(items, m_guard->watching() ? s_guardInterval : s_waitInterval);
        const Instant now = steadyNow();
        if ((items[2].revents & ZMQ_POLLIN) != 0 || (m_guard->watching() && now - guardedAt >= s_guardInterval)) {
            guardedAt = now;
            m_guard->check();
        }
        if ((items[1].revents & ZMQ_POLLIN) != 0) {
            std::uint64_t ignored = 0;
            (void)!::read(m_wakeDescriptor, &ignored, sizeof(ignored));
        }
        // Cleared before the queue is emptied, so that a command pushed after this line wakes the thread again.
        m_wakePending = false;
        executeQueued();
        receive();
    }
    // The last messages of a process that stops, such as the end of its last run, may still be queued. Messages that have arrived are
    // handled, so that the process can still refuse what they ask for.
    executeQueued();
    const Instant limit = steadyNow() + m_options.closeTime;
    while (steadyNow() < limit && receive()) {
        executeQueued();
    }
    m_guard.reset();
    m_socket.close();
}

}
