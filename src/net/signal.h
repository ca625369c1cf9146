#pragma once

#include "clock/instant.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <set>

namespace bamboohold {

/// Lets coroutines wait until another one calls notify(). Each waiter has its own timer: with a shared one, setting the expiry for one
/// waiter would wake the others, and two waiters would keep waking each other. For use on a single event loop.
class Signal
{
public:
    explicit Signal(boost::asio::any_io_executor executor)
        : m_executor(std::move(executor))
    {
    }

    Signal(const Signal &) = delete;
    Signal &operator=(const Signal &) = delete;

    /// Waits for the next notify(), but not longer than maxWait.
    boost::asio::awaitable<void> wait(Duration maxWait)
    {
        boost::asio::steady_timer timer(m_executor, maxWait);
        m_waiters.insert(&timer);
        co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        m_waiters.erase(&timer);
    }

    /// Wakes all current waiters.
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
