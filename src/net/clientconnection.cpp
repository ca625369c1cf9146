#include "net/clientconnection.h"

#include "clock/steadytime.h"
#include "net/clientresources.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace bamboohold {

namespace {

/// A connection that waits for room asks again after this time, since holdings that make no progress yield as time passes.
constexpr Duration s_askInterval = std::chrono::milliseconds(100);

}

ClientConnection::ClientConnection(std::shared_ptr<ClientResources> resources,
                                   ClientSocket socket,
                                   const boost::asio::any_io_executor &executor,
                                   std::function<void()> onYield)
    : m_resources(std::move(resources))
    , m_socket(socket)
{
    if (m_resources) {
        m_state = std::make_shared<State>(executor);
        m_state->onYield = std::move(onYield);
        m_id = m_resources->connect(socket, m_state);
    }
}

ClientConnection::~ClientConnection()
{
    if (m_state) {
        m_state->onYield = nullptr;
    }
    if (m_id) {
        m_resources->disconnect(*m_id);
    }
}

bool ClientConnection::setPhase(ClientPhase phase)
{
    return !m_id || m_resources->setPhase(*m_id, phase);
}

bool ClientConnection::tryGrowRequest(std::uint64_t bytes, std::uint64_t most)
{
    const bool granted = !m_id || m_resources->growRequest(*m_id, bytes, most);
    if (!granted) {
        m_resources->stopWaiting(*m_id);
    }
    return granted;
}

boost::asio::awaitable<bool> ClientConnection::growRequest(std::uint64_t bytes, std::uint64_t most)
{
    if (!m_id) {
        co_return true;
    }
    const Instant by = steadyNow() + m_resources->m_options.patience;
    co_return co_await waitForRoom(&ClientResources::growRequest, bytes, most, by);
}

boost::asio::awaitable<bool> ClientConnection::growAnswer(std::uint64_t bytes, std::uint64_t most, Instant by)
{
    if (!m_id) {
        co_return true;
    }
    m_answerHeld = true;
    co_return co_await waitForRoom(&ClientResources::growAnswer, bytes, most, by);
}

boost::asio::awaitable<bool> ClientConnection::waitForRoom(Grow grow, std::uint64_t bytes, std::uint64_t most, Instant by)
{
    bool granted = ((*m_resources).*grow)(*m_id, bytes, most);
    while (!granted) {
        const Instant now = steadyNow();
        if (now >= by || yields() != ClientQuota::Yield::No) {
            m_resources->stopWaiting(*m_id);
            co_return false;
        }
        m_state->roomReleased.expires_after(std::min(s_askInterval, by - now));
        co_await m_state->roomReleased.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        granted = ((*m_resources).*grow)(*m_id, bytes, most);
    }
    co_return true;
}

void ClientConnection::answerComplete()
{
    if (m_id && m_answerHeld) {
        m_resources->answerComplete(*m_id);
    }
}

void ClientConnection::recordProgress(std::uint64_t bytes)
{
    if (m_id) {
        m_resources->recordProgress(*m_id, bytes);
    }
}

void ClientConnection::setWriting(bool writing)
{
    if (m_id) {
        m_resources->setWriting(*m_id, writing);
    }
}

void ClientConnection::releaseRequest()
{
    m_answerHeld = false;
    if (m_id) {
        m_resources->releaseRequest(*m_id);
    }
}

ClientQuota::Yield ClientConnection::yields() const
{
    return m_id ? m_resources->yields(*m_id) : ClientQuota::Yield::No;
}

Duration ClientConnection::retryTime() const
{
    return m_resources ? m_resources->retryTime() : std::chrono::seconds(1);
}

void ClientConnection::countRefusal(ClientRefusal refusal)
{
    if (m_resources) {
        m_resources->countRefusal(m_socket, refusal);
    }
}

}
