#pragma once

#include "clock/instant.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bamboohold {

/// Suspends the calling coroutine for the given time without blocking its event loop.
inline boost::asio::awaitable<void> pause(Duration duration)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, duration);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

}
