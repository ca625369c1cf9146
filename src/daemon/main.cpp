#include "daemon/router.h"
#include "daemon/settings.h"
#include "engine/sidecar.h"
#include "net/workerpool.h"
#include "operations/log.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace {

using namespace bamboohold;

constexpr int s_exitSetting = 2;

/// Runs one role until it has drained after SIGTERM or SIGINT.
template<typename RoleProcess>
int runRole(const Settings &settings)
{
    WorkerPool pool(settings.workers);
    boost::asio::signal_set signals(pool.mainLoop(), SIGTERM, SIGINT);
    RoleProcess process(pool, settings);
    signals.async_wait([&process](const boost::system::error_code &error, int) {
        if (!error) {
            process.drain();
        }
    });
    if (const absl::Status status = process.open(); !status.ok()) {
        logLine(Severity::Error, "cannot start", {{"type", failureName(toFailure(status).kind)}, {"detail", toFailure(status).detail}});
        return s_exitSetting;
    }
    pool.run();
    return 0;
}

}

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const SettingsReading reading = readSettings(argc, argv);
    if (!reading.information.empty()) {
        std::cout << reading.information;
        return 0;
    }
    for (const Failure &mistake : reading.mistakes) {
        std::cerr << failureName(mistake.kind) << ": " << mistake.detail << "\n";
    }
    if (!reading.settings) {
        return s_exitSetting;
    }
    const Settings &settings = *reading.settings;
    initLog({.role = settings.role == Role::Router ? "router" : "sidecar", .host = settings.host, .failureDomain = settings.failureDomain},
            Severity::Info);
    return settings.role == Role::Router ? runRole<Router>(settings) : runRole<Sidecar>(settings);
}
