#include "overload/clientquota.h"

#include <algorithm>
#include <limits>

namespace bamboohold {

namespace {

std::uint64_t partOf(std::uint64_t bytes, double share)
{
    return bytes == 0 ? std::numeric_limits<std::uint64_t>::max() / 4 : static_cast<std::uint64_t>(static_cast<double>(bytes) * share);
}

constexpr double s_bytesPerMegabyte = 1'000'000;
/// The part of a process's memory that clients may take. The kernel may hold about as much for their sockets.
constexpr double s_clientMemoryShare = 1.0 / 3;
/// Descriptors for files.
constexpr double s_fileDescriptors = 200;
/// Sockets for peers, the store and listening: this part of all, but at least so many.
constexpr double s_ownSocketShare = 0.125;
constexpr double s_minOwnSockets = 64;
constexpr double s_minCallerSockets = 16;

/// The order in which connections yield.
constexpr int s_closingRank = 0;
constexpr int s_silentRank = 1;
constexpr int s_keptRank = 2;
constexpr int s_stalledRank = 3;
constexpr int s_unreadRank = 4;

}

std::string_view clientSocketName(ClientSocket socket)
{
    constexpr std::array<std::string_view, s_clientSockets> names{"callers", "readiness", "operations"};
    return names.at(static_cast<std::size_t>(socket));
}

std::string_view yieldName(ClientQuota::Yield yield)
{
    constexpr std::array<std::string_view, 4> names{"no", "idle", "stalled", "unread"};
    return names.at(static_cast<std::size_t>(yield));
}

ClientQuota::Options clientQuotaFor(const HostResources &host)
{
    ClientQuota::Options options;
    options.memoryBytes = static_cast<std::uint64_t>(host.memoryMb * s_bytesPerMegabyte * s_clientMemoryShare);
    if (host.maxDescriptors > 0) {
        const double sockets = std::max(0.0, host.maxDescriptors - s_fileDescriptors);
        const double others =
            static_cast<double>((s_clientSockets - 1) * options.otherConnections) + std::max(s_minOwnSockets, sockets * s_ownSocketShare);
        options.callerSockets = static_cast<std::size_t>(std::max(s_minCallerSockets, sockets - others));
    }
    return options;
}

ClientQuota::ClientQuota(Options options)
    : m_options(options)
    , m_medium({.bytes = partOf(options.memoryBytes, options.mediumShare), .stallTime = options.mediumStallTime})
    , m_large({.bytes = partOf(options.memoryBytes, options.largeShare), .stallTime = options.largeStallTime})
    , m_answers({.bytes = partOf(options.memoryBytes, options.answerShare), .stallTime = options.largeStallTime})
{
}

bool ClientQuota::isActive(ClientPhase phase)
{
    return phase == ClientPhase::Head || phase == ClientPhase::Body || phase == ClientPhase::Served;
}

ClientQuota::Socket &ClientQuota::socketOf(const Client &client)
{
    return m_sockets.at(static_cast<std::size_t>(client.socket));
}

std::uint64_t ClientQuota::bytesOf(const Client &client) const
{
    return isActive(client.phase) ? m_options.activeBytes : m_options.idleBytes;
}

std::optional<ClientQuota::Place> ClientQuota::placeOf(Id id, const Client &client)
{
    switch (client.phase) {
    case ClientPhase::Closing:
        return Place(s_closingRank, client.since, id);
    case ClientPhase::Idle:
        return Place(client.hasServed ? s_keptRank : s_silentRank, client.since, id);
    case ClientPhase::Head:
    case ClientPhase::Body:
        return Place(s_stalledRank, client.since, id);
    case ClientPhase::Served:
        return client.writing ? std::optional(Place(s_unreadRank, client.since, id)) : std::nullopt;
    }
    return std::nullopt;
}

void ClientQuota::enter(Id id, const Client &client)
{
    Socket &socket = socketOf(client);
    ++socket.connections;
    socket.served += client.phase == ClientPhase::Served ? 1 : 0;
    socket.bytes += bytesOf(client);
    if (const auto place = placeOf(id, client)) {
        socket.places.insert(*place);
    }
}

void ClientQuota::leave(Id id, const Client &client)
{
    Socket &socket = socketOf(client);
    --socket.connections;
    socket.served -= client.phase == ClientPhase::Served ? 1 : 0;
    socket.bytes -= bytesOf(client);
    if (const auto place = placeOf(id, client)) {
        socket.places.erase(*place);
    }
}

bool ClientQuota::withinLimits(ClientSocket socket) const
{
    const Socket &taken = m_sockets.at(static_cast<std::size_t>(socket));
    if (socket != ClientSocket::Callers) {
        return taken.connections <= m_options.otherConnections;
    }
    const std::size_t sockets = taken.connections + std::max(m_upstream, taken.served);
    return (m_options.callerSockets == 0 || sockets <= m_options.callerSockets)
        && taken.bytes <= partOf(m_options.memoryBytes, m_options.connectionShare);
}

Duration ClientQuota::yieldTime(int rank) const
{
    switch (rank) {
    case s_silentRank:
        return m_options.firstRequestTime;
    case s_stalledRank:
        return m_options.mediumStallTime;
    case s_unreadRank:
        return m_options.largeStallTime;
    default:
        return Duration::zero();
    }
}

std::optional<ClientQuota::Id> ClientQuota::nextYielding(const Socket &socket, Id asking, Young young, Instant now) const
{
    std::optional<Id> oldestYoung;
    for (auto place = socket.places.begin(); place != socket.places.end();) {
        const auto &[rank, since, id] = *place;
        const bool mayYield = now - since >= yieldTime(rank);
        if (id != asking && mayYield) {
            return id;
        }
        if (id != asking && rank == s_silentRank && young == Young::Yield && !oldestYoung) {
            oldestYoung = id;
        }
        // The others of this rank came later.
        place = mayYield ? std::next(place) : socket.places.lower_bound(Place(rank + 1, Instant::min(), 0));
    }
    return oldestYoung;
}

void ClientQuota::markYielding(Id id, Yield yield)
{
    const auto found = m_clients.find(id);
    if (found != m_clients.end() && found->second.yield == Yield::No) {
        leave(id, found->second);
        found->second.yield = yield;
        ++m_yielding;
    }
}

bool ClientQuota::makePlace(ClientSocket socket, Id asking, Young young, Instant now, std::vector<Id> &yielding)
{
    while (!withinLimits(socket)) {
        const std::optional<Id> next = nextYielding(m_sockets.at(static_cast<std::size_t>(socket)), asking, young, now);
        if (!next) {
            return false;
        }
        const ClientPhase phase = m_clients.at(*next).phase;
        const Yield active = phase == ClientPhase::Served ? Yield::Unread : Yield::Stalled;
        markYielding(*next, isActive(phase) ? active : Yield::Idle);
        yielding.push_back(*next);
    }
    return true;
}

ClientQuota::Decision ClientQuota::connect(Id id, ClientSocket socket, Instant now)
{
    const Client &client = m_clients[id] = {.socket = socket, .since = now};
    enter(id, client);
    Decision decision;
    decision.granted = makePlace(socket, id, Young::Yield, now, decision.yielding);
    if (!decision.granted) {
        disconnect(id);
    }
    return decision;
}

void ClientQuota::disconnect(Id id)
{
    const auto found = m_clients.find(id);
    if (found == m_clients.end()) {
        return;
    }
    releaseRequest(id);
    if (found->second.yield == Yield::No) {
        leave(id, found->second);
    } else {
        --m_yielding;
    }
    m_clients.erase(found);
}

ClientQuota::Decision ClientQuota::setPhase(Id id, ClientPhase phase, Instant now)
{
    Client &client = m_clients.at(id);
    if (client.yield != Yield::No) {
        client.phase = phase;
        return {};
    }
    const Client before = client;
    leave(id, client);
    client.phase = phase;
    client.since = now;
    client.progressBytes = 0;
    client.writing = false;
    client.hasServed = client.hasServed || before.phase == ClientPhase::Served;
    enter(id, client);
    if (phase == ClientPhase::Served) {
        for (GrowingRoom *room : {&m_medium, &m_large}) {
            room->setComplete(id);
            room->setProgress(id, GrowingRoom::Progress::NotExpected, now);
        }
    }
    Decision decision{.granted = true};
    if (isActive(phase)) {
        decision.granted = makePlace(client.socket, id, Young::Keep, now, decision.yielding);
    }
    return decision;
}

ClientQuota::Decision ClientQuota::decide(GrowingRoom::Growth growth, Yield yield)
{
    for (const Id id : growth.yielding) {
        markYielding(id, yield);
    }
    return {.granted = growth.granted, .yielding = std::move(growth.yielding)};
}

ClientQuota::Decision ClientQuota::growRequest(Id id, std::uint64_t bytes, std::uint64_t most, Instant now)
{
    Client &client = m_clients.at(id);
    if (bytes <= std::max(client.requestBytes, m_options.smallBytes)) {
        return {.granted = true};
    }
    const bool medium = bytes <= m_options.mediumBytes;
    GrowingRoom &room = medium ? m_medium : m_large;
    const Decision decision =
        decide(room.grow(id, bytes - room.held(id), medium ? std::min(most, m_options.mediumBytes) : most, now), Yield::Stalled);
    if (decision.granted) {
        client.requestBytes = bytes;
        if (!medium) {
            m_medium.release(id);
        }
    }
    return decision;
}

ClientQuota::Decision ClientQuota::growAnswer(Id id, std::uint64_t bytes, std::uint64_t most, Instant now)
{
    Client &client = m_clients.at(id);
    if (bytes <= std::max(client.answerBytes, m_options.freeAnswerBytes)) {
        return {.granted = true};
    }
    const GrowingRoom::Growth growth = m_answers.grow(id, bytes - m_answers.held(id), most, now);
    m_answers.setProgress(id, GrowingRoom::Progress::NotExpected, now);
    if (growth.granted) {
        client.answerBytes = bytes;
    }
    return decide(growth, Yield::Unread);
}

void ClientQuota::answerComplete(Id id, Instant now)
{
    m_answers.setComplete(id);
    m_answers.setProgress(id, GrowingRoom::Progress::Expected, now);
}

void ClientQuota::setWriting(Id id, bool writing, Instant now)
{
    Client &client = m_clients.at(id);
    if (client.yield != Yield::No || client.writing == writing) {
        return;
    }
    leave(id, client);
    client.writing = writing;
    client.since = now;
    client.progressBytes = 0;
    enter(id, client);
}

void ClientQuota::recordProgress(Id id, std::uint64_t bytes, Instant now)
{
    Client &client = m_clients.at(id);
    for (GrowingRoom *room : {&m_medium, &m_large, &m_answers}) {
        room->recordProgress(id, bytes, now);
    }
    client.progressBytes += bytes;
    if (client.progressBytes < m_options.minProgress || client.yield != Yield::No
        || (client.phase == ClientPhase::Served && !client.writing)) {
        return;
    }
    client.progressBytes = 0;
    leave(id, client);
    client.since = now;
    enter(id, client);
}

void ClientQuota::stopWaiting(Id id)
{
    for (GrowingRoom *room : {&m_medium, &m_large, &m_answers}) {
        room->stopWaiting(id);
    }
}

void ClientQuota::releaseRequest(Id id)
{
    for (GrowingRoom *room : {&m_medium, &m_large, &m_answers}) {
        room->release(id);
    }
    if (const auto found = m_clients.find(id); found != m_clients.end()) {
        found->second.requestBytes = 0;
        found->second.answerBytes = 0;
    }
}

ClientQuota::Yield ClientQuota::yields(Id id) const
{
    const auto found = m_clients.find(id);
    return found != m_clients.end() ? found->second.yield : Yield::No;
}

std::vector<ClientQuota::Id> ClientQuota::firstWaiting() const
{
    std::vector<Id> first;
    for (const GrowingRoom *room : {&m_medium, &m_large, &m_answers}) {
        if (const auto waiting = room->firstWaiting()) {
            first.push_back(*waiting);
        }
    }
    return first;
}

std::size_t ClientQuota::connections(ClientSocket socket) const
{
    return m_sockets.at(static_cast<std::size_t>(socket)).connections;
}

std::uint64_t ClientQuota::memoryTaken() const
{
    std::uint64_t bytes = m_medium.used() + m_large.used() + m_answers.used();
    for (const Socket &socket : m_sockets) {
        bytes += socket.bytes;
    }
    return bytes;
}

}
