#include "net/readturns.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace bamboohold {

ReadTurns::ReadTurns(boost::asio::any_io_executor executor)
    : m_executor(std::move(executor))
{
}

boost::asio::awaitable<void> ReadTurns::take(std::size_t bytes)
{
    if (m_taken >= s_bytesPerTurn || !m_waiting.empty()) {
        boost::asio::steady_timer waiting(m_executor, boost::asio::steady_timer::time_point::max());
        m_waiting.push_back(&waiting);
        scheduleEnd();
        co_await waiting.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    m_taken += bytes;
    scheduleEnd();
}

void ReadTurns::scheduleEnd()
{
    if (m_endScheduled) {
        return;
    }
    m_endScheduled = true;
    boost::asio::post(m_executor, [this] {
        m_endScheduled = false;
        m_taken = 0;
        wakeNext();
    });
}

void ReadTurns::wakeNext()
{
    // Each of them reads a part of what a turn may take.
    constexpr std::size_t readsPerTurn = 4;
    for (std::size_t woken = 0; woken < readsPerTurn && !m_waiting.empty(); ++woken) {
        m_waiting.front()->cancel();
        m_waiting.pop_front();
    }
    if (!m_waiting.empty()) {
        scheduleEnd();
    }
}

}
