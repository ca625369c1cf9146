#include "clock/steadytime.h"
#include "net/httpclient.h"
#include "net/workerpool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <vector>

DEFINE_string(url, "127.0.0.1:8080", "IP:port of a router or an engine");
DEFINE_string(key, "", "bearer key; none for an engine");
DEFINE_string(model, "m", "model asked for");
DEFINE_int32(connections, 32, "callers at a time, each with a connection of its own");
DEFINE_int32(requests, 2000, "requests in all");
DEFINE_int32(max_tokens, 16, "output limit");
DEFINE_int32(prompt_bytes, 64, "length of the prompt");
DEFINE_bool(stream, false, "ask for streams");
DEFINE_int32(workers, 2, "event loops");

namespace {

using namespace bamboohold;

/// What one caller saw; merged when all are done.
struct Samples {
    std::vector<double> firstByte;
    std::vector<double> whole;
    std::int64_t failed = 0;
    std::int64_t events = 0;
};

std::int64_t countEvents(std::string_view piece)
{
    std::int64_t events = 0;
    for (std::size_t at = piece.find("data: {"); at != std::string_view::npos; at = piece.find("data: {", at + 1)) {
        ++events;
    }
    return events;
}

std::string requestBody(int index)
{
    boost::json::object body{{"model", FLAGS_model},
                             {"prompt", std::string(static_cast<std::size_t>(FLAGS_prompt_bytes), 'p') + std::to_string(index)}};
    body["max_tokens"] = FLAGS_max_tokens;
    body["min_tokens"] = FLAGS_max_tokens;
    body["stream"] = FLAGS_stream;
    return boost::json::serialize(body);
}

asio::awaitable<void> one(HttpClient &client, int index, Samples &samples)
{
    HttpCallOptions options{.method = "POST", .path = "/v1/completions", .body = requestBody(index), .timeout = std::chrono::seconds(120)};
    if (!FLAGS_key.empty()) {
        options.headers.push_back({.name = "Authorization", .value = "Bearer " + FLAGS_key});
    }
    const Instant begin = steadyNow();
    HttpStreamCall call(client, std::move(options));
    const absl::Status started = co_await call.start();
    if (!started.ok() || call.status() != 200) {
        ++samples.failed;
        co_return;
    }
    bool first = true;
    while (true) {
        const auto piece = co_await call.readSome();
        if (!piece.ok()) {
            ++samples.failed;
            co_return;
        }
        if (piece->empty()) {
            break;
        }
        if (first) {
            samples.firstByte.push_back(seconds(steadyNow() - begin));
            first = false;
        }
        samples.events += countEvents(*piece);
    }
    samples.whole.push_back(seconds(steadyNow() - begin));
}

asio::awaitable<void> caller(asio::io_context &loop, asio::ip::tcp::endpoint endpoint, std::atomic<int> &next, Samples &samples)
{
    HttpClient client(loop.get_executor(), endpoint);
    for (int index = next++; index < FLAGS_requests; index = next++) {
        co_await one(client, index, samples);
    }
}

double percentile(std::vector<double> &sorted, double share)
{
    if (sorted.empty()) {
        return 0;
    }
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

}

/// Sends a fixed number of completions from a fixed number of callers and prints one JSON line.
int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::size_t colon = FLAGS_url.find(':');
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(FLAGS_url.substr(0, colon)),
                                           static_cast<std::uint16_t>(std::stoi(FLAGS_url.substr(colon + 1))));
    WorkerPool pool(FLAGS_workers);
    std::atomic<int> next = 0;
    std::atomic<int> open = FLAGS_connections;
    std::vector<Samples> samples(static_cast<std::size_t>(FLAGS_connections));
    const Instant begin = steadyNow();
    for (Samples &own : samples) {
        asio::io_context &loop = pool.nextLoop();
        asio::co_spawn(loop, caller(loop, endpoint, next, own), [&](const std::exception_ptr &) {
            if (--open == 0) {
                pool.stop();
            }
        });
    }
    pool.run();
    const double length = seconds(steadyNow() - begin);
    Samples all;
    for (Samples &own : samples) {
        all.firstByte.insert(all.firstByte.end(), own.firstByte.begin(), own.firstByte.end());
        all.whole.insert(all.whole.end(), own.whole.begin(), own.whole.end());
        all.failed += own.failed;
        all.events += own.events;
    }
    std::sort(all.firstByte.begin(), all.firstByte.end());
    std::sort(all.whole.begin(), all.whole.end());
    const boost::json::object line{{"answered", all.whole.size()},
                                   {"failed", all.failed},
                                   {"requests_per_second", static_cast<double>(all.whole.size()) / length},
                                   {"streamed_tokens_per_second", static_cast<double>(all.events) / length},
                                   {"first_byte_ms_median", percentile(all.firstByte, 0.5) * 1e3},
                                   {"first_byte_ms_p95", percentile(all.firstByte, 0.95) * 1e3},
                                   {"first_byte_ms_p99", percentile(all.firstByte, 0.99) * 1e3},
                                   {"whole_ms_median", percentile(all.whole, 0.5) * 1e3},
                                   {"whole_ms_p99", percentile(all.whole, 0.99) * 1e3}};
    std::cout << boost::json::serialize(line) << "\n";
    return all.failed == 0 ? 0 : 1;
}
