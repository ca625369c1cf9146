#pragma once

#include "net/workerpool.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace bamboohold {

/// Runs a stand-in's loops until the process is asked to end. It keeps nothing, so there is nothing to finish.
inline void runUntilSignal(WorkerPool &pool)
{
    boost::asio::signal_set signals(pool.mainLoop(), SIGTERM, SIGINT);
    signals.async_wait([&pool](const boost::system::error_code &, int) {
        pool.stop();
    });
    pool.run();
}

}
