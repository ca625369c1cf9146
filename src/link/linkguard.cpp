#include "link/linkguard.h"

#include "operations/log.h"

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <optional>

namespace bamboohold {

namespace {

/// An event of a monitored socket, see zmq_socket_monitor(3).
struct SocketEvent {
    std::uint16_t kind = 0;
    std::uint32_t descriptor = 0;
};

std::optional<SocketEvent> readEvent(const zmq::message_t &message)
{
    SocketEvent event;
    if (message.size() < sizeof(event.kind) + sizeof(event.descriptor)) {
        return std::nullopt;
    }
    const auto *content = static_cast<const char *>(message.data());
    std::memcpy(&event.kind, content, sizeof(event.kind));
    std::memcpy(&event.descriptor, content + sizeof(event.kind), sizeof(event.descriptor));
    return event;
}

std::optional<sockaddr_in> addressOf(int descriptor, decltype(&::getsockname) find)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    // NOLINTNEXTLINE: the interface of the system.
    if (find(descriptor, reinterpret_cast<sockaddr *>(&address), &size) != 0 || address.sin_family != AF_INET) {
        return std::nullopt;
    }
    return address;
}

std::string hostOf(const sockaddr_in &address)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return text.data();
}

/// ADDRESS:PORT of the other end of a connection that was accepted at this port; empty if the descriptor is none of these.
std::string peerOf(int descriptor, std::uint16_t port)
{
    const std::optional<sockaddr_in> local = addressOf(descriptor, &::getsockname);
    const std::optional<sockaddr_in> remote = addressOf(descriptor, &::getpeername);
    return local && remote && ntohs(local->sin_port) == port ? absl::StrCat(hostOf(*remote), ":", ntohs(remote->sin_port)) : std::string();
}

std::uint64_t receivedBytes(int descriptor)
{
    // Glibc's structure ends before the number of received bytes.
    struct {
        tcp_info info;
        std::uint64_t pacingRate;
        std::uint64_t maxPacingRate;
        std::uint64_t bytesAcked;
        std::uint64_t bytesReceived;
    } counts{};
    socklen_t size = sizeof(counts);
    const bool known = ::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &counts, &size) == 0 && size >= sizeof(counts);
    return known ? counts.bytesReceived : 0;
}

}

LinkGuard::LinkGuard(zmq::context_t &context, zmq::socket_t &socket, std::uint16_t port, Strangers::Options options)
    : m_port(port)
    , m_socket(socket)
    , m_events(context, zmq::socket_type::pair)
    , m_strangers(options)
{
    const std::string endpoint = absl::StrCat("inproc://link-", port);
    ::zmq_socket_monitor(m_socket.handle(), endpoint.c_str(), ZMQ_EVENT_ACCEPTED | ZMQ_EVENT_DISCONNECTED);
    m_events.connect(endpoint);
}

LinkGuard::~LinkGuard()
{
    ::zmq_socket_monitor(m_socket.handle(), nullptr, 0);
}

void LinkGuard::setKnownHosts(std::set<std::string> hosts)
{
    m_knownHosts = std::move(hosts);
    for (const std::string &host : m_knownHosts) {
        for (const int descriptor : m_strangers.becameKnown(host)) {
            m_peers.erase(descriptor);
        }
    }
}

void LinkGuard::readEvents()
{
    zmq::message_t message;
    while (m_events.recv(message, zmq::recv_flags::dontwait)) {
        const std::optional<SocketEvent> event = readEvent(message);
        if (message.more()) {
            (void)m_events.recv(message, zmq::recv_flags::dontwait);
        }
        if (!event) {
            continue;
        }
        const int descriptor = static_cast<int>(event->descriptor);
        m_strangers.disconnected(descriptor);
        m_peers.erase(descriptor);
        if (event->kind == ZMQ_EVENT_ACCEPTED) {
            accept(descriptor);
        }
    }
}

void LinkGuard::accept(int descriptor)
{
    const std::string peer = peerOf(descriptor, m_port);
    const std::string host = peer.substr(0, peer.rfind(':'));
    if (!peer.empty() && !m_knownHosts.contains(host)) {
        m_peers[descriptor] = peer;
        m_strangers.connected(descriptor, host);
    }
}

void LinkGuard::check()
{
    readEvents();
    for (const int descriptor : m_strangers.connections()) {
        m_strangers.recordReceived(descriptor, receivedBytes(descriptor));
    }
    const std::vector<int> ending = m_strangers.takeEnding();
    for (const int descriptor : ending) {
        end(descriptor);
    }
    if (!ending.empty()) {
        m_ended += ending.size();
        logLine(Severity::Warning,
                "link.strangers_ended",
                {{"connections", static_cast<std::int64_t>(ending.size())},
                 {"ended", static_cast<std::int64_t>(m_ended)},
                 {"left", static_cast<std::int64_t>(m_peers.size())},
                 {"port", static_cast<std::int64_t>(m_port)}});
    }
}

void LinkGuard::end(int descriptor)
{
    const auto peer = m_peers.find(descriptor);
    // ZeroMQ may have closed the descriptor, and another connection may have it now.
    if (peer != m_peers.end() && peerOf(descriptor, m_port) == peer->second) {
        ::shutdown(descriptor, SHUT_RDWR);
    }
    m_peers.erase(descriptor);
}

}
