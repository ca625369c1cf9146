#pragma once

#include "clock/instant.h"
#include "net/httpserver.h"
#include "request/requeststatemachine.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <mutex>
#include <optional>

namespace bamboohold {

/// Queue that passes the frames of one request from the link's thread to the request's coroutine. Shared by both, because either can be the
/// last to use it.
class AnswerMailbox
{
public:
    explicit AnswerMailbox(asio::any_io_executor executor);

    /// Adds a frame. Thread-safe.
    void push(AnswerFrame frame);

    /// Records that the caller has disconnected, and wakes the coroutine. Thread-safe.
    void markDisconnected();

    /// Waits for the next frame; empty when the timeout has passed or the caller has disconnected. Call it on the executor's loop only.
    asio::awaitable<std::optional<AnswerFrame>> next(Duration timeout);

    /// Returns the next frame if there is one, without waiting. Thread-safe.
    std::optional<AnswerFrame> tryNext();

    /// True once the caller has disconnected. Thread-safe.
    bool isDisconnected() const;

private:
    /// Wakes the coroutine that waits in `next`.
    void wake();

    mutable std::mutex m_mutex;
    std::deque<AnswerFrame> m_frames;
    bool m_disconnected = false;
    bool m_waiting = false;
    asio::steady_timer m_timer;
};

}
