#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <oneapi/tbb/task_arena.h>
#include <oneapi/tbb/task_group.h>

#include <atomic>
#include <memory>
#include <vector>

namespace bamboohold {

/// The process's workers: a oneTBB arena in which each worker runs one event loop. A connection stays on the loop it was opened on, so its
/// state needs no lock; what loops share is in tables with a lock each.
class WorkerPool
{
public:
    explicit WorkerPool(int workers);
    ~WorkerPool();

    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    /// The next event loop in turn.
    boost::asio::io_context &nextLoop();

    /// The first event loop: timers and housekeeping.
    boost::asio::io_context &mainLoop()
    {
        return *m_loops.front();
    }

    /// Number of event loops.
    std::size_t size() const
    {
        return m_loops.size();
    }

    /// The loop of that index.
    boost::asio::io_context &loop(std::size_t index)
    {
        return *m_loops.at(index);
    }

    /// Runs the loops until stop(); the calling thread becomes one of the workers.
    void run();

    /// Ends run(). Callable from any thread.
    void stop();

private:
    using Guard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

    std::vector<std::unique_ptr<boost::asio::io_context>> m_loops;
    std::vector<Guard> m_guards;
    std::atomic<std::size_t> m_next = 0;
    oneapi::tbb::task_arena m_arena;
};

}
