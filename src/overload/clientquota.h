#pragma once

#include "overload/growingroom.h"

#include <array>
#include <cstddef>
#include <optional>
#include <set>
#include <string_view>
#include <tuple>

namespace bamboohold {

/// The sockets of a process at which clients connect.
enum class ClientSocket {
    Callers,
    Readiness,
    /// Metrics and status.
    Operations,
};

constexpr std::size_t s_clientSockets = 3;

/// The name of a socket in metrics and log lines.
std::string_view clientSocketName(ClientSocket socket);

/// How far a client's connection has got.
enum class ClientPhase {
    /// No request has begun on it, or the next one has not.
    Idle,
    Head,
    Body,
    /// The request is complete, and is served or answered.
    Served,
    /// The last answer was sent, and what the client still sends is discarded.
    Closing,
};

/// Decides what the clients of a process, at all of its sockets together, may take of its memory and descriptors. It is asked before bytes
/// are read, and names the connections that yield.
///
/// Memory is divided into four parts. Each connection takes some, with room for a small request in it, so that small requests need not wait
/// for anything that others hold. Heads and bodies up to `mediumBytes`, larger bodies, and answers that are longer than `freeAnswerBytes`
/// have a part each, see GrowingRoom. A connection that is idle or makes no progress yields, also one whose answer is not read; one whose
/// request is being served never does.
///
/// Pure: events and `now` in, decisions out.
class ClientQuota
{
public:
    using Id = std::uint64_t;

    struct Options {
        /// Memory for all clients together, in bytes. 0: not limited.
        std::uint64_t memoryBytes = 0;
        /// Sockets for callers and for the connections to targets that serve them. 0: not limited.
        std::size_t callerSockets = 0;
        /// Connections at each of the other sockets.
        std::size_t otherConnections = 32;
        /// Connections that may be ending for others at a time.
        std::size_t mostYielding = 32;
        /// What an idle connection takes, and one with a request.
        std::uint64_t idleBytes = 8 * 1024;
        std::uint64_t activeBytes = 16 * 1024;
        /// Parts of the memory.
        double connectionShare = 0.25;
        double mediumShare = 0.2;
        double largeShare = 0.4;
        double answerShare = 0.15;
        /// A request up to this size needs no room beside that of its connection.
        std::uint64_t smallBytes = 8 * 1024;
        std::uint64_t mediumBytes = 64 * 1024;
        std::uint64_t freeAnswerBytes = 16 * 1024;
        /// Requests up to `mediumBytes`, larger ones, and answers make no progress for this long before they yield.
        Duration mediumStallTime = std::chrono::milliseconds(250);
        Duration largeStallTime = std::chrono::seconds(1);
        /// Bytes of a request that count as progress; fewer do not keep a connection from yielding its place.
        std::uint64_t minProgress = 4096;
        /// A client sends its first request right after it has connected. Until then it yields after all others.
        Duration firstRequestTime = std::chrono::milliseconds(500);
    };

    /// Why a connection has to end.
    enum class Yield {
        No,
        /// It was idle, or closing, and another one needed its place.
        Idle,
        /// Its request made no progress, and another one needed its room or place.
        Stalled,
        /// Its answer was not read, and another one needed its room or place.
        Unread,
    };

    struct Decision {
        bool granted = false;
        /// Connections that have to end for it.
        std::vector<Id> yielding;
    };

    explicit ClientQuota(Options options);

    /// Asks to accept a connection. One that is not granted is to be closed.
    Decision connect(Id id, ClientSocket socket, Instant now);

    /// The connection has ended; all that it held is free again.
    void disconnect(Id id);

    /// Asks to go on with the next phase. Only Head and Served can be refused: nothing yields, and the request is to be refused.
    Decision setPhase(Id id, ClientPhase phase, Instant now);

    /// Asks for room for a request that takes `bytes` by now, and may take `most`. One that is not granted waits and asks again.
    Decision growRequest(Id id, std::uint64_t bytes, std::uint64_t most, Instant now);

    /// The same for the answer that a connection is to send.
    Decision growAnswer(Id id, std::uint64_t bytes, std::uint64_t most, Instant now);

    /// The answer is complete: from now on the client's reading makes its progress.
    void answerComplete(Id id, Instant now);

    /// The connection is writing, and the client is expected to read, or it has written all that there is for now.
    void setWriting(Id id, bool writing, Instant now);

    /// The client has sent, or taken, so many bytes.
    void recordProgress(Id id, std::uint64_t bytes, Instant now);

    /// The connection gives up waiting for room.
    void stopWaiting(Id id);

    /// The request has been answered, and all it held is free again.
    void releaseRequest(Id id);

    /// Number of open connections to targets.
    void setUpstream(std::size_t connections)
    {
        m_upstream = connections;
    }

    /// Why this connection has to end.
    Yield yields(Id id) const;

    /// Connections that are first in line for room.
    std::vector<Id> firstWaiting() const;

    /// After this time there is room again for what was refused.
    Duration retryTime() const
    {
        return m_options.largeStallTime;
    }

    /// Whether more connections may be accepted now: those that were told to end for others need some time for it.
    bool acceptsMore() const
    {
        return m_yielding < m_options.mostYielding;
    }

    std::size_t connections(ClientSocket socket) const;

    /// Memory that is taken now, in bytes.
    std::uint64_t memoryTaken() const;

private:
    /// By the order in which connections yield: rank, since when, id.
    using Place = std::tuple<int, Instant, Id>;

    struct Client {
        ClientSocket socket = ClientSocket::Callers;
        ClientPhase phase = ClientPhase::Idle;
        /// Since when it is idle, or makes no progress, and the bytes that came since.
        Instant since{};
        std::uint64_t progressBytes = 0;
        bool hasServed = false;
        bool writing = false;
        Yield yield = Yield::No;
        /// Bytes that its request takes.
        std::uint64_t requestBytes = 0;
        std::uint64_t answerBytes = 0;
    };

    struct Socket {
        std::size_t connections = 0;
        std::size_t served = 0;
        std::uint64_t bytes = 0;
        std::set<Place> places;
    };

    /// Whether connections whose first request is still expected may yield, if nobody else may.
    enum class Young {
        Keep,
        Yield,
    };

    static bool isActive(ClientPhase phase);
    static std::optional<Place> placeOf(Id id, const Client &client);
    Socket &socketOf(const Client &client);
    std::uint64_t bytesOf(const Client &client) const;
    void enter(Id id, const Client &client);
    void leave(Id id, const Client &client);
    bool withinLimits(ClientSocket socket) const;
    /// Marks connections as yielding until the limits hold. Returns false if too few may yield.
    bool makePlace(ClientSocket socket, Id asking, Young young, Instant now, std::vector<Id> &yielding);
    /// How long a connection of this rank keeps its place at least.
    Duration yieldTime(int rank) const;
    std::optional<Id> nextYielding(const Socket &socket, Id asking, Young young, Instant now) const;
    void markYielding(Id id, Yield yield);
    Decision decide(GrowingRoom::Growth growth, Yield yield);

    Options m_options;
    std::map<Id, Client> m_clients;
    std::array<Socket, s_clientSockets> m_sockets;
    GrowingRoom m_medium;
    GrowingRoom m_large;
    GrowingRoom m_answers;
    std::size_t m_upstream = 0;
    /// Connections that were told to end and have not yet.
    std::size_t m_yielding = 0;
};

/// What a process may take of its host.
struct HostResources {
    double memoryMb = 0;
    double maxDescriptors = 0;
};

/// Divides what a process may take: a part of it is for clients, the rest for the process itself and for its connections to targets, peers
/// and the store. A resource that is not stated does not limit anything.
ClientQuota::Options clientQuotaFor(const HostResources &host);

/// The name of a reason in metrics and log lines.
std::string_view yieldName(ClientQuota::Yield yield);

}
