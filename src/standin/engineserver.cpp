#include "standin/engineserver.h"

#include "clock/steadytime.h"
#include "standin/faultswitch.h"
#include "store/table.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/crc.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace bamboohold {

namespace {

constexpr std::size_t s_bytesPerToken = 4;
constexpr std::size_t s_blockBytes = 256;
constexpr std::uint64_t s_lostEventInterval = 17;
constexpr Tokens s_defaultMaxTokens = 256;
constexpr Tokens s_minNaturalTokens = 16;
constexpr Tokens s_naturalTokensRange = 64;
constexpr Duration s_slotPollInterval = std::chrono::milliseconds(1);

std::string promptOf(const boost::json::object &body)
{
    if (const auto *messages = body.if_contains("messages")) {
        return boost::json::serialize(*messages);
    }
    return textField(body, "prompt");
}

/// Returns an identifier of the prompt, which each part of the response contains so that callers can check whose response it is.
std::string fingerprintOf(const std::string &prompt)
{
    boost::crc_32_type crc;
    crc.process_bytes(prompt.data(), prompt.size());
    return absl::StrCat("fp-", crc.checksum());
}

/// Returns the length of the response if no limit applies. It depends only on the prompt, so that runs are reproducible.
Tokens naturalOutputTokens(const std::string &prompt)
{
    return s_minNaturalTokens + static_cast<Tokens>(std::hash<std::string>{}(prompt) % s_naturalTokensRange);
}

std::string tokenText(Tokens index)
{
    return absl::StrCat("w", index, " ");
}

}

EngineServer::EngineServer(Options options)
    : m_options(std::move(options))
{
}

asio::awaitable<void> EngineServer::sleep(HttpExchange &exchange, Duration duration)
{
    asio::steady_timer timer(exchange.executor(), duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

std::size_t EngineServer::addJournalEntry(const HttpExchange &exchange)
{
    const std::lock_guard lock(m_mutex);
    m_journal.push_back({.requestId = std::string(exchange.header("X-Request-Id")),
                         .attempt = std::string(exchange.header("X-Attempt")),
                         .path = std::string(exchange.path()),
                         .startedMs = wallClockMs()});
    return m_journal.size() - 1;
}

void EngineServer::updateJournalEntry(std::size_t index, Tokens output, std::string_view state)
{
    const std::lock_guard lock(m_mutex);
    m_journal[index].outputTokens = output;
    m_journal[index].state = state;
}

void EngineServer::sampleLoad()
{
    m_load.push_back({.at = steadyNow(), .running = m_running, .waiting = m_waiting});
    while (m_load.size() > 1 && m_load[1].at < steadyNow() - m_options.reportLag) {
        m_load.pop_front();
    }
}

void EngineServer::recordCacheEvent(std::string block, bool stored)
{
    const std::uint64_t number = m_nextEvent++;
    if (number % s_lostEventInterval == 0) {
        return;
    }
    m_cacheEvents.push_back({.number = number, .block = std::move(block), .stored = stored, .visibleAt = steadyNow() + m_options.eventLag});
    if (m_cacheEvents.size() > m_options.cacheBlocks) {
        m_cacheEvents.pop_front();
    }
}

Tokens EngineServer::uncachedTokens(const std::string &prompt, Tokens promptTokens)
{
    const std::lock_guard lock(m_mutex);
    std::size_t hitBytes = 0;
    bool matching = true;
    for (std::size_t end = s_blockBytes; end <= prompt.size(); end += s_blockBytes) {
        const std::string block = absl::StrCat(std::hash<std::string_view>{}(std::string_view(prompt).substr(0, end)));
        const auto found = m_cache.find(block);
        matching = matching && found != m_cache.end();
        if (found != m_cache.end()) {
            hitBytes = matching ? end : hitBytes;
            m_cacheOrder.splice(m_cacheOrder.begin(), m_cacheOrder, found->second);
            continue;
        }
        m_cacheOrder.push_front(block);
        m_cache[block] = m_cacheOrder.begin();
        recordCacheEvent(block, true);
        if (m_cache.size() > m_options.cacheBlocks) {
            recordCacheEvent(m_cacheOrder.back(), false);
            m_cache.erase(m_cacheOrder.back());
            m_cacheOrder.pop_back();
        }
    }
    return std::max<Tokens>(0, promptTokens - static_cast<Tokens>(hitBytes / s_bytesPerToken));
}

std::string EngineServer::usageJson(const Job &job, Tokens output) const
{
    const auto reported = static_cast<Tokens>(static_cast<double>(output) * m_options.reportFactor);
    return absl::StrCat("{\"prompt_tokens\":",
                        job.promptTokens,
                        ",\"completion_tokens\":",
                        reported,
                        ",\"total_tokens\":",
                        job.promptTokens + reported,
                        "}");
}

asio::awaitable<bool> EngineServer::waitForSlot(HttpExchange &exchange, Job &job)
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_waiting;
        sampleLoad();
    }
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_running < m_options.slots || job.callerDisconnected) {
                --m_waiting;
                m_running += job.callerDisconnected ? 0 : 1;
                sampleLoad();
                co_return !job.callerDisconnected;
            }
        }
        co_await sleep(exchange, s_slotPollInterval);
    }
}

asio::awaitable<void> EngineServer::streamTokens(HttpExchange &exchange, Job &job)
{
    co_await exchange.beginStream(200, "text/event-stream");
    const std::string object = job.chat ? "chat.completion.chunk" : "text_completion";
    const Instant startedAt = steadyNow();
    Tokens generated = 0;
    bool connected = true;
    while (generated < job.outputTokens && connected && !job.callerDisconnected && !isCancelled(job)) {
        co_await sleep(exchange, m_options.timePerToken);
        const auto targetCount = std::min<Tokens>(
            job.outputTokens, std::max<Tokens>(generated + 1, (steadyNow() - startedAt) / std::max(m_options.timePerToken, Duration(1))));
        std::string events;
        for (; generated < targetCount; ++generated) {
            const std::string content = job.chat ? absl::StrCat("\"delta\":{\"content\":\"", tokenText(generated), "\"}")
                                                 : absl::StrCat("\"text\":\"", tokenText(generated), "\"");
            absl::StrAppend(
                &events, "data: {\"id\":\"cmpl-", job.journalIndex, "\",\"object\":\"", object, "\",\"model\":\"", m_options.model);
            absl::StrAppend(&events, "\",\"system_fingerprint\":\"", job.fingerprint);
            absl::StrAppend(&events, "\",\"choices\":[{\"index\":0,", content, ",\"finish_reason\":null}]");
            if (m_options.reportFactor > 0) {
                absl::StrAppend(&events, ",\"usage\":", usageJson(job, generated + 1));
            }
            absl::StrAppend(&events, "}\n\n");
        }
        // Update the journal before the caller can receive the tokens, since any token that reached a caller counts as generated.
        updateJournalEntry(job.journalIndex, generated, "running");
        connected = co_await exchange.writeChunk(events);
    }
    if (!connected || job.callerDisconnected) {
        updateJournalEntry(job.journalIndex, generated, "cut");
        co_return;
    }
    updateJournalEntry(job.journalIndex, generated, "finished");
    std::string last =
        absl::StrCat("data: {\"id\":\"cmpl-", job.journalIndex, "\",\"object\":\"", object, "\",\"model\":\"", m_options.model);
    absl::StrAppend(&last, "\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"", job.finishReason, "\"}]");
    if (m_options.reportFactor > 0) {
        absl::StrAppend(&last, ",\"usage\":", usageJson(job, generated));
    }
    absl::StrAppend(&last, "}\n\ndata: [DONE]\n\n");
    co_await exchange.writeChunk(last);
    co_await exchange.endStream();
}

asio::awaitable<void> EngineServer::sendFullResponse(HttpExchange &exchange, Job &job)
{
    Tokens generated = 0;
    std::string text;
    const Instant startedAt = steadyNow();
    while (generated < job.outputTokens && !job.callerDisconnected && !isCancelled(job)) {
        co_await sleep(exchange, m_options.timePerToken);
        const auto targetCount = std::min<Tokens>(
            job.outputTokens, std::max<Tokens>(generated + 1, (steadyNow() - startedAt) / std::max(m_options.timePerToken, Duration(1))));
        for (; generated < targetCount; ++generated) {
            text += tokenText(generated);
        }
        updateJournalEntry(job.journalIndex, generated, "running");
    }
    updateJournalEntry(job.journalIndex, generated, job.callerDisconnected ? "cut" : "finished");
    if (job.callerDisconnected) {
        co_return;
    }
    const std::string choice = job.chat ? absl::StrCat("\"message\":{\"role\":\"assistant\",\"content\":\"", text, "\"}")
                                        : absl::StrCat("\"text\":\"", text, "\"");
    std::string body =
        absl::StrCat("{\"id\":\"cmpl-", job.journalIndex, "\",\"object\":\"", job.chat ? "chat.completion" : "text_completion");
    absl::StrAppend(&body,
                    "\",\"model\":\"",
                    m_options.model,
                    "\",\"system_fingerprint\":\"",
                    job.fingerprint,
                    "\",\"choices\":[{\"index\":0,",
                    choice,
                    ",\"finish_reason\":\"",
                    job.finishReason,
                    "\"}]");
    if (m_options.reportFactor > 0) {
        absl::StrAppend(&body, ",\"usage\":", usageJson(job, generated));
    }
    absl::StrAppend(&body, "}");
    co_await exchange.respond(200, "application/json", std::move(body));
}

asio::awaitable<void> EngineServer::handleCompletion(HttpExchange &exchange)
{
    boost::json::error_code error;
    const boost::json::value body = boost::json::parse(exchange.request().body(), error);
    if (error || !body.is_object()) {
        co_await respondFailure(exchange, FailureKind::InvalidRequest, "the body must be a JSON object");
        co_return;
    }
    const boost::json::object &object = body.get_object();
    const auto *stream = object.if_contains("stream");
    const Tokens limit = object.contains("max_tokens") ? integerField(object, "max_tokens") : s_defaultMaxTokens;
    Job job{.requestId = std::string(exchange.header("X-Request-Id")),
            .prompt = promptOf(object),
            .chat = exchange.path() == "/v1/chat/completions"};
    job.fingerprint = fingerprintOf(job.prompt);
    job.stream = stream != nullptr && stream->is_bool() && stream->get_bool();
    job.promptTokens = static_cast<Tokens>((job.prompt.size() + s_bytesPerToken - 1) / s_bytesPerToken);
    const Tokens naturalTokens =
        object.contains("min_tokens") ? std::max(integerField(object, "min_tokens"), s_minNaturalTokens) : naturalOutputTokens(job.prompt);
    job.outputTokens = std::min(naturalTokens, limit);
    job.finishReason = naturalTokens > limit ? "length" : "stop";
    job.journalIndex = addJournalEntry(exchange);
    exchange.onCallerDisconnect([&job] {
        job.callerDisconnected = true;
    });
    const bool hasSlot = co_await waitForSlot(exchange, job);
    if (!hasSlot) {
        updateJournalEntry(job.journalIndex, 0, "cut");
        co_return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_journal[job.journalIndex].promptTokens = job.promptTokens;
    }
    const Tokens uncached = uncachedTokens(job.prompt, job.promptTokens);
    co_await sleep(exchange, m_options.timePerPromptToken * uncached);
    if (job.stream) {
        co_await streamTokens(exchange, job);
    } else {
        co_await sendFullResponse(exchange, job);
    }
    const std::lock_guard lock(m_mutex);
    --m_running;
    sampleLoad();
}

asio::awaitable<void> EngineServer::handleCancel(HttpExchange &exchange)
{
    {
        const std::lock_guard lock(m_mutex);
        m_cancelled.insert(queryParameter(exchange, "request"));
    }
    co_await exchange.respond(200, "application/json", "{\"cancelled\":true}");
}

bool EngineServer::isCancelled(const Job &job)
{
    const std::lock_guard lock(m_mutex);
    return m_cancelled.contains(job.requestId);
}

asio::awaitable<void> EngineServer::servePlain(HttpExchange &exchange)
{
    const std::size_t index = addJournalEntry(exchange);
    co_await sleep(exchange, m_options.timePerToken);
    updateJournalEntry(index, 0, "finished");
    boost::json::object body{{"accepted", true}, {"call", static_cast<std::int64_t>(index)}, {"path", std::string(exchange.path())}};
    co_await exchange.respond(200, "application/json", boost::json::serialize(body));
}

asio::awaitable<void> EngineServer::handleOrder(HttpExchange &exchange)
{
    std::int64_t fencingNumber = 0;
    (void)absl::SimpleAtoi(queryParameter(exchange, "fencing"), &fencingNumber);
    bool accepted = true;
    {
        const std::lock_guard lock(m_mutex);
        accepted = !m_options.checksFencing || fencingNumber >= m_highestFencingNumber;
        if (accepted) {
            m_highestFencingNumber = std::max(m_highestFencingNumber, fencingNumber);
            m_loadedModel = queryParameter(exchange, "load");
        }
    }
    if (!accepted) {
        co_await respondFailure(exchange, FailureKind::Fenced, "the order's fencing number is old");
        co_return;
    }
    co_await exchange.respond(200, "application/json", "{\"accepted\":true}");
}

std::string EngineServer::journalJson()
{
    const std::lock_guard lock(m_mutex);
    boost::json::array runs;
    for (const JournalEntry &entry : m_journal) {
        runs.emplace_back(boost::json::object{{"request", entry.requestId},
                                              {"attempt", entry.attempt},
                                              {"path", entry.path},
                                              {"prompt_tokens", entry.promptTokens},
                                              {"output_tokens", entry.outputTokens},
                                              {"state", entry.state},
                                              {"started_ms", entry.startedMs}});
    }
    return boost::json::serialize(boost::json::object{{"runs", std::move(runs)}});
}

std::string EngineServer::loadJson()
{
    const std::lock_guard lock(m_mutex);
    sampleLoad();
    const LoadSample &sample = m_load.front();
    return absl::StrCat("{\"running\":", sample.running, ",\"waiting\":", sample.waiting, ",\"slots\":", m_options.slots, "}");
}

std::string EngineServer::cacheEventsJson(std::uint64_t after)
{
    const std::lock_guard lock(m_mutex);
    const Instant now = steadyNow();
    boost::json::array events;
    for (const CacheEvent &event : m_cacheEvents) {
        if (event.number > after && event.visibleAt <= now) {
            events.emplace_back(
                boost::json::object{{"number", static_cast<std::int64_t>(event.number)}, {"block", event.block}, {"stored", event.stored}});
        }
    }
    return boost::json::serialize(boost::json::object{{"events", std::move(events)}});
}

asio::awaitable<void> EngineServer::handle(HttpExchange &exchange)
{
    const std::string_view path = exchange.path();
    if (path == "/healthz") {
        co_await exchange.respond(200, "application/json", "{}");
    } else if (path == "/journal") {
        co_await exchange.respond(200, "application/json", journalJson());
    } else if (path == "/load") {
        co_await exchange.respond(200, "application/json", loadJson());
    } else if (path == "/cache/events") {
        std::uint64_t after = 0;
        (void)absl::SimpleAtoi(queryParameter(exchange, "after"), &after);
        co_await exchange.respond(200, "application/json", cacheEventsJson(after));
    } else if (path == "/v1/cancel") {
        co_await handleCancel(exchange);
    } else if (path == "/orders") {
        co_await handleOrder(exchange);
    } else if (m_options.plainService) {
        co_await servePlain(exchange);
    } else if (path == "/v1/chat/completions" || path == "/v1/completions") {
        co_await handleCompletion(exchange);
    } else if (path == "/v1/models") {
        co_await exchange.respond(200,
                                  "application/json",
                                  absl::StrCat("{\"object\":\"list\",\"data\":[{\"id\":\"", m_options.model, "\",\"object\":\"model\"}]}"));
    } else {
        co_await respondFailure(exchange, FailureKind::NotFound, path);
    }
}

}
