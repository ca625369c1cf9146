#include "net/clientresources.h"

#include "clock/steadytime.h"
#include "operations/log.h"

#include <boost/asio/post.hpp>

namespace bamboohold {

namespace {

constexpr Duration s_refusalLogInterval = std::chrono::seconds(1);

}

std::string_view clientRefusalName(ClientRefusal refusal)
{
    constexpr std::array<std::string_view, s_clientRefusals> names{
        "no_place", "idle_yielded", "no_room", "stalled", "unread", "head_over_limit", "body_over_limit", "too_slow", "invalid"};
    return names.at(static_cast<std::size_t>(refusal));
}

ClientResources::ClientResources(Options options, Metrics &metrics)
    : m_options(std::move(options))
    , m_metrics(metrics)
    , m_quota(m_options.quota)
{
}

bool ClientResources::apply(const ClientQuota::Decision &decision)
{
    for (const Id id : decision.yielding) {
        const auto found = m_states.find(id);
        const std::shared_ptr<ClientConnection::State> state = found != m_states.end() ? found->second.lock() : nullptr;
        if (state) {
            boost::asio::post(state->roomReleased.get_executor(), [state] {
                state->roomReleased.cancel();
                if (state->onYield) {
                    state->onYield();
                }
            });
        }
    }
    return decision.granted;
}

void ClientResources::wakeFirst()
{
    for (const Id id : m_quota.firstWaiting()) {
        const auto found = m_states.find(id);
        const std::shared_ptr<ClientConnection::State> state = found != m_states.end() ? found->second.lock() : nullptr;
        if (state) {
            boost::asio::post(state->roomReleased.get_executor(), [state] {
                state->roomReleased.cancel();
            });
        }
    }
}

std::optional<ClientResources::Id> ClientResources::connect(ClientSocket socket, const std::shared_ptr<ClientConnection::State> &state)
{
    const std::lock_guard lock(m_mutex);
    if (m_options.upstream) {
        m_quota.setUpstream(m_options.upstream());
    }
    const Id id = ++m_lastId;
    if (!apply(m_quota.connect(id, socket, steadyNow()))) {
        return std::nullopt;
    }
    m_states.emplace(id, state);
    return id;
}

void ClientResources::disconnect(Id id)
{
    const std::lock_guard lock(m_mutex);
    m_states.erase(id);
    m_quota.disconnect(id);
    wakeFirst();
}

bool ClientResources::acceptsMore()
{
    const std::lock_guard lock(m_mutex);
    return m_quota.acceptsMore();
}

bool ClientResources::setPhase(Id id, ClientPhase phase)
{
    const std::lock_guard lock(m_mutex);
    return apply(m_quota.setPhase(id, phase, steadyNow()));
}

bool ClientResources::growRequest(Id id, std::uint64_t bytes, std::uint64_t most)
{
    const std::lock_guard lock(m_mutex);
    const bool granted = apply(m_quota.growRequest(id, bytes, most, steadyNow()));
    if (granted) {
        wakeFirst();
    }
    return granted;
}

bool ClientResources::growAnswer(Id id, std::uint64_t bytes, std::uint64_t most)
{
    const std::lock_guard lock(m_mutex);
    const bool granted = apply(m_quota.growAnswer(id, bytes, most, steadyNow()));
    if (granted) {
        wakeFirst();
    }
    return granted;
}

void ClientResources::answerComplete(Id id)
{
    const std::lock_guard lock(m_mutex);
    m_quota.answerComplete(id, steadyNow());
    wakeFirst();
}

void ClientResources::setWriting(Id id, bool writing)
{
    const std::lock_guard lock(m_mutex);
    m_quota.setWriting(id, writing, steadyNow());
}

void ClientResources::recordProgress(Id id, std::uint64_t bytes)
{
    const std::lock_guard lock(m_mutex);
    m_quota.recordProgress(id, bytes, steadyNow());
}

void ClientResources::stopWaiting(Id id)
{
    const std::lock_guard lock(m_mutex);
    m_quota.stopWaiting(id);
    wakeFirst();
}

void ClientResources::releaseRequest(Id id)
{
    const std::lock_guard lock(m_mutex);
    m_quota.releaseRequest(id);
    wakeFirst();
}

ClientQuota::Yield ClientResources::yields(Id id)
{
    const std::lock_guard lock(m_mutex);
    return m_quota.yields(id);
}

void ClientResources::countRefusal(ClientSocket socket, ClientRefusal refusal)
{
    const std::array<MetricLabel, 2> labels{
        {{.name = "socket", .value = clientSocketName(socket)}, {.name = "cause", .value = clientRefusalName(refusal)}}};
    m_metrics.count("clients_refused_total", labels);
    const std::lock_guard lock(m_mutex);
    RefusalLog &last = m_refusals.at(static_cast<std::size_t>(socket)).at(static_cast<std::size_t>(refusal));
    ++last.count;
    const Instant now = steadyNow();
    if (last.loggedAt != Instant{} && now - last.loggedAt < s_refusalLogInterval) {
        return;
    }
    last.loggedAt = now;
    logLine(Severity::Warning,
            "client.refused",
            {{"socket", clientSocketName(socket)},
             {"cause", clientRefusalName(refusal)},
             {"refused", static_cast<std::int64_t>(last.count)},
             {"connections", static_cast<std::int64_t>(m_quota.connections(socket))},
             {"memory_taken", static_cast<std::int64_t>(m_quota.memoryTaken())},
             {"memory_limit", static_cast<std::int64_t>(m_options.quota.memoryBytes)}});
}

void ClientResources::exportMetrics()
{
    const std::lock_guard lock(m_mutex);
    for (std::size_t index = 0; index < s_clientSockets; ++index) {
        const auto socket = static_cast<ClientSocket>(index);
        m_metrics.gauge("client_connections",
                        {.name = "socket", .value = clientSocketName(socket)},
                        static_cast<std::int64_t>(m_quota.connections(socket)));
    }
    m_metrics.gauge("client_memory_bytes", {.name = "state", .value = "taken"}, static_cast<std::int64_t>(m_quota.memoryTaken()));
    m_metrics.gauge("client_memory_bytes", {.name = "state", .value = "limit"}, static_cast<std::int64_t>(m_options.quota.memoryBytes));
}

}
