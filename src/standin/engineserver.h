#pragma once

#include "clock/instant.h"
#include "net/httpserver.h"

#include <boost/json/object.hpp>

#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace bamboohold {

/// Stand-in for a model engine or a plain service.
///
/// A model engine implements the OpenAI API, runs a limited number of requests concurrently, spends time on the prompt tokens that are not
/// in its prefix cache and then generates tokens at a constant rate. Its journal records every run and is the ground truth that the
/// fleet's ledger is compared with.
class EngineServer
{
public:
    struct Options {
        std::string model;
        /// True for a plain service, which responds on any path and must not be called twice for one submission.
        bool plainService = false;
        std::uint32_t slots = 32;
        Duration timePerToken = std::chrono::milliseconds(5);
        Duration timePerPromptToken = std::chrono::microseconds(20);
        /// Maximum number of prefix blocks in the cache.
        std::size_t cacheBlocks = 4096;
        /// Age of a load report.
        Duration reportLag = std::chrono::milliseconds(500);
        /// Delay of a cache event. One in s_lostEventInterval events is lost.
        Duration eventLag = std::chrono::seconds(1);
        /// If true, orders with an outdated fencing number are rejected.
        bool checksFencing = true;
        /// Tokens reported per generated token; 1 reports the true number, 0 disables the report.
        double reportFactor = 1;
    };

    explicit EngineServer(Options options);

    /// Handles one request.
    asio::awaitable<void> handle(HttpExchange &exchange);

private:
    struct JournalEntry {
        std::string requestId;
        std::string attempt;
        std::string path;
        Tokens promptTokens = 0;
        Tokens outputTokens = 0;
        std::string state = "running";
        std::int64_t startedMs = 0;
    };

    struct Job {
        std::size_t journalIndex = 0;
        std::string requestId;
        std::string prompt;
        std::string fingerprint;
        Tokens promptTokens = 0;
        Tokens outputTokens = 0;
        bool chat = true;
        bool stream = false;
        bool callerDisconnected = false;
        std::string finishReason = "stop";
    };

    struct LoadSample {
        Instant at;
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
    };

    struct CacheEvent {
        std::uint64_t number = 0;
        std::string block;
        bool stored = true;
        Instant visibleAt;
    };

    asio::awaitable<void> handleCompletion(HttpExchange &exchange);
    asio::awaitable<void> servePlain(HttpExchange &exchange);
    asio::awaitable<void> streamTokens(HttpExchange &exchange, Job &job);
    asio::awaitable<void> sendFullResponse(HttpExchange &exchange, Job &job);
    asio::awaitable<void> handleOrder(HttpExchange &exchange);
    asio::awaitable<void> handleCancel(HttpExchange &exchange);
    bool isCancelled(const Job &job);
    asio::awaitable<bool> waitForSlot(HttpExchange &exchange, Job &job);
    asio::awaitable<void> sleep(HttpExchange &exchange, Duration duration);

    Tokens uncachedTokens(const std::string &prompt, Tokens promptTokens);
    void recordCacheEvent(std::string block, bool stored);
    void sampleLoad();
    std::string usageJson(const Job &job, Tokens output) const;
    std::string journalJson();
    std::string loadJson();
    std::string cacheEventsJson(std::uint64_t after);
    std::size_t addJournalEntry(const HttpExchange &exchange);
    void updateJournalEntry(std::size_t index, Tokens output, std::string_view state);

    Options m_options;
    std::mutex m_mutex;
    std::deque<JournalEntry> m_journal;
    std::set<std::string> m_cancelled;
    std::deque<LoadSample> m_load;
    std::list<std::string> m_cacheOrder;
    std::map<std::string, std::list<std::string>::iterator> m_cache;
    std::deque<CacheEvent> m_cacheEvents;
    std::uint64_t m_nextEvent = 1;
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
    std::int64_t m_highestFencingNumber = 0;
    std::string m_loadedModel;
};

}
