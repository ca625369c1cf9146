#include "request/answermailbox.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace bamboohold {

AnswerMailbox::AnswerMailbox(asio::any_io_executor executor)
    : m_timer(std::move(executor))
{
}

void AnswerMailbox::wake()
{
    // The timer is not thread-safe: cancelling it on the link's thread would race with the wait.
    asio::post(m_timer.get_executor(), [this] {
        m_timer.cancel();
    });
}

void AnswerMailbox::push(AnswerFrame frame)
{
    const std::lock_guard lock(m_mutex);
    m_frames.push_back(std::move(frame));
    if (std::exchange(m_waiting, false)) {
        wake();
    }
}

void AnswerMailbox::markDisconnected()
{
    const std::lock_guard lock(m_mutex);
    m_disconnected = true;
    if (std::exchange(m_waiting, false)) {
        wake();
    }
}

std::optional<AnswerFrame> AnswerMailbox::tryNext()
{
    const std::lock_guard lock(m_mutex);
    if (m_frames.empty()) {
        return std::nullopt;
    }
    AnswerFrame frame = std::move(m_frames.front());
    m_frames.pop_front();
    return frame;
}

bool AnswerMailbox::isDisconnected() const
{
    const std::lock_guard lock(m_mutex);
    return m_disconnected;
}

asio::awaitable<std::optional<AnswerFrame>> AnswerMailbox::next(Duration timeout)
{
    m_timer.expires_after(timeout);
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_frames.empty()) {
                AnswerFrame frame = std::move(m_frames.front());
                m_frames.pop_front();
                m_waiting = false;
                co_return frame;
            }
            if (m_disconnected) {
                co_return std::nullopt;
            }
            m_waiting = true;
        }
        const auto [error] = co_await m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (!error) {
            const std::lock_guard lock(m_mutex);
            m_waiting = false;
            if (m_frames.empty()) {
                co_return std::nullopt;
            }
        }
    }
}

}
