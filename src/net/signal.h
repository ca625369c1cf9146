#pragma once

#include "clock/instant.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <set>

namespace bamboohold {

/// Wakes every coroutine that waits for something to happen. Each waiter has a timer of its own: on a shared one, setting one waiter's time
/// would wake the others, and two waiters would keep each other awake. For one event loop.
class Signal
{
public:
    explicit Signal(boost::asio::any_io_executor executor)
        : m_executor(std::move(executor))
    {
    }

    Signal(const Signal &) = delete;
    Signal &operator=(const Signal &) = delete;

    /// Waits for the next notify(), but no longer than this.
    boost::asio::awaitable<void> wait(Duration maxWait)
    {
        boost::asio::steady_timer timer(m_executor, maxWait);
        m_waiters.insert(&timer);
        co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        m_waiters.erase(&timer);
    }

    /// Wakes all who wait now.
    void notify()
    {
        for (boost::asio::steady_timer *waiter : m_waiters) {
            waiter->cancel();
        }
    }

private:
    boost::asio::any_io_executor m_executor;
    std::set<boost::asio::steady_timer *> m_waiters;
};

}
