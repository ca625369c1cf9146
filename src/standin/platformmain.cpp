#include "net/workerpool.h"
#include "standin/faultswitch.h"
#include "standin/platformserver.h"
#include "standin/untilsignal.h"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 7300, "port to listen on");
DEFINE_int64(list_lag_ms, 5000, "delay until a state change of a host appears in the list, in milliseconds");

/// Runs the platform stand-in as a separate process.
int main(int argc, char **argv)
{
    using namespace bamboohold;
    std::signal(SIGPIPE, SIG_IGN);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    WorkerPool pool(1);
    PlatformServer platform({.listLag = std::chrono::milliseconds(FLAGS_list_lag_ms)});
    FaultSwitch faults;
    HttpServer server(
        pool, {.address = FLAGS_address, .port = static_cast<std::uint16_t>(FLAGS_port)}, faults.wrap([&platform](HttpExchange &exchange) {
            return platform.handle(exchange);
        }));
    if (const absl::Status status = server.open(); !status.ok()) {
        std::cerr << status.message() << "\n";
        return 2;
    }
    runUntilSignal(pool);
    return 0;
}
