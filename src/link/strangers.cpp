#include "link/strangers.h"

#include <algorithm>

namespace bamboohold {

namespace {

/// Descriptors for files, and the part of the others that strangers may have.
constexpr double s_fileDescriptors = 200;
constexpr double s_socketShare = 0.125;
/// A connection takes some tens of kilobytes.
constexpr double s_connectionsPerMegabyte = 2;
constexpr double s_minConnections = 16;
constexpr double s_maxConnections = 512;
constexpr std::uint64_t s_maxBytes = 4 * 1024 * 1024;
constexpr std::uint64_t s_maxBytesEach = 2 * 1024 * 1024;

}

Strangers::Options Strangers::optionsFor(double memoryMb, double maxDescriptors)
{
    const double byDescriptors = maxDescriptors > 0 ? (maxDescriptors - s_fileDescriptors) * s_socketShare : s_maxConnections;
    const double byMemory = memoryMb > 0 ? memoryMb * s_connectionsPerMegabyte : s_maxConnections;
    return {.maxConnections = static_cast<std::size_t>(std::clamp(std::min(byDescriptors, byMemory), s_minConnections, s_maxConnections)),
            .maxBytes = s_maxBytes,
            .maxBytesEach = s_maxBytesEach};
}

Strangers::Strangers(Options options)
    : m_options(options)
{
}

void Strangers::connected(Id id, std::string host)
{
    m_connections[id] = {.host = std::move(host), .order = m_nextOrder++};
}

void Strangers::disconnected(Id id)
{
    m_connections.erase(id);
}

void Strangers::recordReceived(Id id, std::uint64_t bytes)
{
    const auto found = m_connections.find(id);
    if (found != m_connections.end()) {
        found->second.received = bytes;
    }
}

std::vector<Strangers::Id> Strangers::becameKnown(const std::string &host)
{
    std::vector<Id> known;
    for (const auto &[id, connection] : m_connections) {
        if (connection.host == host) {
            known.push_back(id);
        }
    }
    for (const Id id : known) {
        m_connections.erase(id);
    }
    return known;
}

std::vector<Strangers::Id> Strangers::takeEnding()
{
    std::vector<Id> ending;
    const auto end = [this, &ending](auto connection) {
        ending.push_back(connection->first);
        m_connections.erase(connection);
    };
    std::uint64_t received = 0;
    for (auto next = m_connections.begin(); next != m_connections.end();) {
        const auto connection = next++;
        if (connection->second.received > m_options.maxBytesEach) {
            end(connection);
        } else {
            received += connection->second.received;
        }
    }
    const auto byOrder = [](const auto &entry) {
        return entry.second.order;
    };
    const auto byReceived = [](const auto &entry) {
        return entry.second.received;
    };
    while (m_connections.size() > m_options.maxConnections) {
        const auto oldest = std::ranges::min_element(m_connections, {}, byOrder);
        received -= oldest->second.received;
        end(oldest);
    }
    while (received > m_options.maxBytes) {
        const auto most = std::ranges::max_element(m_connections, {}, byReceived);
        received -= most->second.received;
        end(most);
    }
    return ending;
}

std::vector<Strangers::Id> Strangers::connections() const
{
    std::vector<Id> ids;
    for (const auto &[id, connection] : m_connections) {
        ids.push_back(id);
    }
    return ids;
}

}
