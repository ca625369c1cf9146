#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <deque>

namespace bamboohold {

/// Limits how much of requests is read in each turn of an event loop, so that clients whose bytes cost a lot of work, such as bodies in
/// very small chunks, cannot keep everybody else waiting. What exceeds it is read in the next turns, in the order in which it was asked
/// for.
class ReadTurns
{
public:
    /// Bytes that are read in one turn.
    static constexpr std::size_t s_bytesPerTurn = 64 * 1024;

    explicit ReadTurns(boost::asio::any_io_executor executor);

    ReadTurns(const ReadTurns &) = delete;
    ReadTurns &operator=(const ReadTurns &) = delete;

    /// Waits until so many bytes may be read.
    boost::asio::awaitable<void> take(std::size_t bytes);

private:
    /// Ends the turn once all that is ready now has been handled.
    void scheduleEnd();
    void wakeNext();

    boost::asio::any_io_executor m_executor;
    std::size_t m_taken = 0;
    bool m_endScheduled = false;
    std::deque<boost::asio::steady_timer *> m_waiting;
};

}
