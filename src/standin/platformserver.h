#pragma once

#include "clock/instant.h"
#include "net/httpserver.h"
#include "store/memorytable.h"

#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace bamboohold {

/// HTTP stand-in for the platform: table, object store, delayed host list and rate-limited weight store.
class PlatformServer
{
public:
    struct Options {
        /// Delay until a state change of a host appears in the list.
        Duration listLag = std::chrono::seconds(5);
        /// Throughput of the weight store, shared by all downloads, in bytes per second.
        std::int64_t weightBytesPerSecond = 100'000'000;
    };

    explicit PlatformServer(Options options);

    /// Handles one request.
    asio::awaitable<void> handle(HttpExchange &exchange);

private:
    struct HostChange {
        std::string host;
        std::string state;
        Instant visibleAt;
    };

    struct Response {
        unsigned status = 200;
        std::string body;
        std::string contentType = "application/json";
    };

    Response transact(const HttpExchange &exchange);
    Response readRows(const HttpExchange &exchange);
    Response scanRows(const HttpExchange &exchange);
    Response handleObject(const HttpExchange &exchange);
    Response handleHosts(const HttpExchange &exchange);
    Response handleCounters();
    asio::awaitable<void> handleWeights(HttpExchange &exchange);

    Options m_options;
    std::mutex m_mutex;
    MemoryTable m_table;
    std::map<std::string, std::string> m_visibleHosts;
    std::deque<HostChange> m_hostChanges;
    Instant m_weightsFreeAt{};
    std::uint64_t m_reads = 0;
};

}
