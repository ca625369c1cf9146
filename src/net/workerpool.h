#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <oneapi/tbb/task_arena.h>
#include <oneapi/tbb/task_group.h>

#include <atomic>
#include <memory>
#include <vector>

namespace bamboohold {

/// The worker threads of the process: a oneTBB arena in which each worker runs one event loop. A connection stays on the loop on which it
/// was opened, so its state needs no lock. State that is shared between loops is kept in tables that have a lock each.
class WorkerPool
{
public:
    explicit WorkerPool(int workers);
    ~WorkerPool();

    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    /// Returns the event loops in turn (round robin).
    boost::asio::io_context &nextLoop();

    /// Returns the first event loop, which also runs timers and housekeeping.
    boost::asio::io_context &mainLoop()
    {
        return *m_loops.front();
    }

    /// Returns the number of event loops.
    std::size_t size() const
    {
        return m_loops.size();
    }

    /// Returns the event loop with this index.
    boost::asio::io_context &loop(std::size_t index)
    {
        return *m_loops.at(index);
    }

    /// Runs the event loops until stop(). The calling thread becomes one of the workers.
    void run();

    /// Makes run() return. Can be called from any thread.
    void stop();

    /// Destroys everything that waits on the event loops, such as suspended coroutines. To be called after run() has returned for the last
    /// time and while the objects that the coroutines refer to still exist. Sockets and timers of the loops may be destroyed later.
    void discardPendingWork();

private:
    /// An event loop whose pending work can be destroyed before the loop itself.
    class EventLoop : public boost::asio::io_context
    {
    public:
        using boost::asio::execution_context::shutdown;
        using boost::asio::io_context::io_context;
    };

    using Guard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

    std::vector<std::unique_ptr<EventLoop>> m_loops;
    std::vector<Guard> m_guards;
    std::atomic<std::size_t> m_next = 0;
    oneapi::tbb::task_arena m_arena;
};

}
