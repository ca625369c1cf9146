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

/// Hands the frames of one request from the link's thread to the request's coroutine. Shared by both, since either can be the last to let
/// go.
class AnswerMailbox
{
public:
    explicit AnswerMailbox(asio::any_io_executor executor);

    /// Adds a frame. Callable from any thread.
    void push(AnswerFrame frame);

    /// The caller hung up. Callable from any thread.
    void markDisconnected();

    /// Waits for the next frame; empty when the time passed or the caller hung up. Only on the mailbox's loop.
    asio::awaitable<std::optional<AnswerFrame>> next(Duration timeout);

    /// The next frame if one is there already.
    std::optional<AnswerFrame> tryNext();

    /// True once the caller hung up.
    bool isDisconnected() const;

private:
    void wake();

    mutable std::mutex m_mutex;
    std::deque<AnswerFrame> m_frames;
    bool m_disconnected = false;
    bool m_waiting = false;
    asio::steady_timer m_timer;
};

}
