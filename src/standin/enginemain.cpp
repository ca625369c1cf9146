#include "net/workerpool.h"
#include "standin/engineserver.h"
#include "standin/faultswitch.h"
#include "standin/untilsignal.h"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 9000, "port to listen on");
DEFINE_string(model, "", "name of the served model; empty for a plain service");
DEFINE_bool(plain_service, false, "run as a plain service instead of a model engine");
DEFINE_int32(slots, 32, "maximum number of concurrent requests");
DEFINE_int64(token_us, 5000, "time per output token, in microseconds");
DEFINE_int64(prompt_token_us, 20, "time per uncached prompt token, in microseconds");
DEFINE_int64(report_lag_ms, 500, "age of load reports, in milliseconds");
DEFINE_bool(checks_fencing, true, "reject orders with an outdated fencing number");
DEFINE_double(report_factor, 1, "tokens reported per generated token; 0 disables the report");
DEFINE_int32(workers, 1, "number of event loops");

/// Runs the engine stand-in as a separate process.
int main(int argc, char **argv)
{
    using namespace bamboohold;
    std::signal(SIGPIPE, SIG_IGN);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    WorkerPool pool(FLAGS_workers);
    EngineServer engine({.model = FLAGS_model,
                         .plainService = FLAGS_plain_service,
                         .slots = static_cast<std::uint32_t>(FLAGS_slots),
                         .timePerToken = Duration(FLAGS_token_us),
                         .timePerPromptToken = Duration(FLAGS_prompt_token_us),
                         .reportLag = std::chrono::milliseconds(FLAGS_report_lag_ms),
                         .checksFencing = FLAGS_checks_fencing,
                         .reportFactor = FLAGS_report_factor});
    FaultSwitch faults;
    HttpServer server(
        pool, {.address = FLAGS_address, .port = static_cast<std::uint16_t>(FLAGS_port)}, faults.wrap([&engine](HttpExchange &exchange) {
            return engine.handle(exchange);
        }));
    if (const absl::Status status = server.open(); !status.ok()) {
        std::cerr << status.message() << "\n";
        return 2;
    }
    runUntilSignal(pool);
    return 0;
}
