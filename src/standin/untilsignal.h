#pragma once

#include "net/workerpool.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace bamboohold {

/// Runs the event loops of a stand-in until SIGTERM or SIGINT. Stand-ins keep no state on disk, so nothing has to be completed first.
inline void runUntilSignal(WorkerPool &pool)
{
    boost::asio::signal_set signals(pool.mainLoop(), SIGTERM, SIGINT);
    signals.async_wait([&pool](const boost::system::error_code &, int) {
        pool.stop();
    });
    pool.run();
}

}
