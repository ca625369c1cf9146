#pragma once

#include "net/clientconnection.h"
#include "operations/metrics.h"
#include "overload/clientquota.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string_view>
#include <vector>

namespace bamboohold {

/// Why a client was refused, or its connection closed.
enum class ClientRefusal {
    /// More connections than may be open, none of which may yield.
    NoPlace,
    /// Another connection needed its place while it was idle.
    IdleYielded,
    /// There was no room in memory for the request, or it made no progress while others needed its room.
    NoRoom,
    Stalled,
    /// It did not read its answer while others needed the room.
    Unread,
    /// The head, or the trailers, exceed the limit.
    HeadOverLimit,
    BodyOverLimit,
    /// It took too long to send its request.
    TooSlow,
    /// It is not valid HTTP, or mostly framing.
    Invalid,
};

constexpr std::size_t s_clientRefusals = 9;

/// The name of a refusal in metrics and log lines.
std::string_view clientRefusalName(ClientRefusal refusal);

/// The memory and the descriptors that the clients of this process may take together, at all of its servers. Thread-safe; m_mutex guards
/// everything, and only the lock of Metrics is taken under it.
class ClientResources
{
public:
    struct Options {
        ClientQuota::Options quota;
        /// The number of open connections to targets; empty: not counted.
        std::function<std::size_t()> upstream;
        /// How long a request waits for room before it is refused.
        Duration patience = std::chrono::seconds(5);
    };

    ClientResources(Options options, Metrics &metrics);

    /// Whether more connections may be accepted now.
    bool acceptsMore();

    /// How long a refused client is told to wait: by then, what makes no progress has yielded.
    Duration retryTime() const
    {
        return m_quota.retryTime();
    }

    /// Counts a refusal, and logs it if none of its kind was logged within the last second.
    void countRefusal(ClientSocket socket, ClientRefusal refusal);

    /// Exports what is taken.
    void exportMetrics();

private:
    friend class ClientConnection;

    using Id = ClientQuota::Id;

    struct RefusalLog {
        Instant loggedAt{};
        std::uint64_t count = 0;
    };

    /// Registers a connection. Returns none if there is no place for it.
    std::optional<Id> connect(ClientSocket socket, const std::shared_ptr<ClientConnection::State> &state);
    void disconnect(Id id);
    bool setPhase(Id id, ClientPhase phase);
    bool growRequest(Id id, std::uint64_t bytes, std::uint64_t most);
    bool growAnswer(Id id, std::uint64_t bytes, std::uint64_t most);
    void answerComplete(Id id);
    void setWriting(Id id, bool writing);
    void recordProgress(Id id, std::uint64_t bytes);
    void stopWaiting(Id id);
    void releaseRequest(Id id);
    ClientQuota::Yield yields(Id id);

    /// Tells the connections that yield, and those that are first in line for room. Called with the lock held.
    bool apply(const ClientQuota::Decision &decision);
    void wakeFirst();

    Options m_options;
    Metrics &m_metrics;
    std::mutex m_mutex;
    ClientQuota m_quota;
    Id m_lastId = 0;
    std::map<Id, std::weak_ptr<ClientConnection::State>> m_states;
    std::array<std::array<RefusalLog, s_clientRefusals>, s_clientSockets> m_refusals;
};

}
