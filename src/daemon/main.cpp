#include "daemon/router.h"
#include "daemon/settings.h"
#include "engine/sidecar.h"
#include "net/workerpool.h"
#include "operations/freedmemory.h"
#include "operations/log.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace {

using namespace bamboohold;

constexpr int s_exitStartupError = 2;

/// Runs the daemon in one role until it has drained after SIGTERM or SIGINT. Returns the exit status of the process.
template<typename RoleProcess>
int runRole(const Settings &settings)
{
    WorkerPool pool(settings.workers);
    boost::asio::signal_set signals(pool.mainLoop(), SIGTERM, SIGINT);
    RoleProcess process(pool, settings);
    signals.async_wait([&process](const boost::system::error_code &signalError, int) {
        if (!signalError) {
            process.drain();
        }
    });
    if (const absl::Status status = process.open(); !status.ok()) {
        logLine(Severity::Error, "cannot start", {{"type", failureName(toFailure(status).kind)}, {"detail", toFailure(status).detail}});
        process.closeLink();
        pool.discardPendingWork();
        return s_exitStartupError;
    }
    pool.run();
    // The link's thread posts to the event loops, which must not happen while their work is discarded.
    process.closeLink();
    process.logStopped();
    // Requests that were cut off refer to the process.
    pool.discardPendingWork();
    return 0;
}

}

int main(int argc, char **argv)
{
    returnFreedMemory();
    std::signal(SIGPIPE, SIG_IGN);
    const SettingsResult result = readSettings(argc, argv);
    if (!result.infoText.empty()) {
        std::cout << result.infoText;
        return 0;
    }
    for (const Failure &error : result.errors) {
        std::cerr << failureName(error.kind) << ": " << error.detail << "\n";
    }
    if (!result.settings) {
        return s_exitStartupError;
    }
    const Settings &settings = *result.settings;
    initLog({.role = settings.role == Role::Router ? "router" : "sidecar", .host = settings.host, .failureDomain = settings.failureDomain},
            Severity::Info);
    return settings.role == Role::Router ? runRole<Router>(settings) : runRole<Sidecar>(settings);
}
