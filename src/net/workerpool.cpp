#include "net/workerpool.h"

#include <oneapi/tbb/global_control.h>
#include <oneapi/tbb/parallel_for.h>

#include <thread>

namespace bamboohold {

WorkerPool::WorkerPool(int workers)
    : m_arena(workers, 1)
{
    for (int index = 0; index < workers; ++index) {
        m_loops.push_back(std::make_unique<EventLoop>(1));
        m_guards.push_back(boost::asio::make_work_guard(*m_loops.back()));
    }
}

WorkerPool::~WorkerPool()
{
    stop();
}

boost::asio::io_context &WorkerPool::nextLoop()
{
    return *m_loops[m_next.fetch_add(1, std::memory_order_relaxed) % m_loops.size()];
}

void WorkerPool::run()
{
    // The limit is one more than the number of loops, since the calling thread counts as well. The arena limits how many threads run loops.
    const oneapi::tbb::global_control control(oneapi::tbb::global_control::max_allowed_parallelism, m_loops.size() + 1);
    oneapi::tbb::task_group group;
    m_arena.execute([this, &group] {
        for (std::size_t index = 1; index < m_loops.size(); ++index) {
            group.run([this, index] {
                m_loops[index]->run();
            });
        }
        m_loops.front()->run();
    });
    m_arena.execute([&group] {
        group.wait();
    });
}

void WorkerPool::discardPendingWork()
{
    for (const auto &loop : m_loops) {
        loop->shutdown();
    }
}

void WorkerPool::stop()
{
    for (const auto &loop : m_loops) {
        loop->stop();
    }
}

}
