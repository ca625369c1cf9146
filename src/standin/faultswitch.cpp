#include "standin/faultswitch.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace bamboohold {

namespace {

struct ModeName {
    FaultSwitch::Mode mode;
    std::string_view name;
};

constexpr std::array s_modes{
    ModeName{FaultSwitch::Mode::None, "none"},
    ModeName{FaultSwitch::Mode::Down, "down"},
    ModeName{FaultSwitch::Mode::Slow, "slow"},
    ModeName{FaultSwitch::Mode::AnswerLost, "answer_lost"},
    ModeName{FaultSwitch::Mode::Freeze, "freeze"},
    ModeName{FaultSwitch::Mode::BreakOff, "break_off"},
};

constexpr std::int64_t s_freezePollMs = 20;

}

std::string queryParameter(const HttpExchange &exchange, std::string_view name)
{
    const std::string target(exchange.request().target());
    const std::size_t queryStart = target.find('?');
    if (queryStart == std::string::npos) {
        return {};
    }
    for (const absl::string_view part : absl::StrSplit(target.substr(queryStart + 1), '&')) {
        const std::pair<std::string, std::string> pair = absl::StrSplit(part, absl::MaxSplits('=', 1));
        if (pair.first == name) {
            return pair.second;
        }
    }
    return {};
}

HttpHandler FaultSwitch::wrap(HttpHandler handler)
{
    return [this, handler = std::move(handler)](HttpExchange &exchange) {
        return handle(handler, exchange);
    };
}

asio::awaitable<void> FaultSwitch::delay(HttpExchange &exchange, std::int64_t milliseconds)
{
    asio::steady_timer timer(exchange.executor(), std::chrono::milliseconds(milliseconds));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> FaultSwitch::handleFaultRequest(HttpExchange &exchange)
{
    const std::string wanted = queryParameter(exchange, "mode");
    bool known = wanted.empty();
    for (const ModeName &entry : s_modes) {
        if (entry.name == wanted) {
            std::int64_t milliseconds = 0;
            (void)absl::SimpleAtoi(queryParameter(exchange, "ms"), &milliseconds);
            std::int64_t bytes = 0;
            (void)absl::SimpleAtoi(queryParameter(exchange, "bytes"), &bytes);
            m_delayMs = milliseconds;
            m_bodyBytes = std::max<std::int64_t>(bytes, 0);
            m_mode = entry.mode;
            known = true;
        }
    }
    if (!known) {
        const Failure failure{.kind = FailureKind::InvalidRequest,
                              .detail = "mode must be none, down, slow, answer_lost, freeze or break_off"};
        co_await exchange.respond(400, "application/json", errorBody(failure, ""));
        co_return;
    }
    const std::string name(s_modes.at(static_cast<std::size_t>(m_mode.load())).name);
    co_await exchange.respond(200, "application/json", absl::StrCat("{\"mode\":\"", name, "\",\"ms\":", m_delayMs.load(), "}"));
}

asio::awaitable<void> FaultSwitch::handle(const HttpHandler &handler, HttpExchange &exchange)
{
    if (exchange.path() == "/fault") {
        co_await handleFaultRequest(exchange);
        co_return;
    }
    while (m_mode == Mode::Freeze) {
        co_await delay(exchange, s_freezePollMs);
    }
    if (m_mode == Mode::Down) {
        exchange.abortConnection();
        co_return;
    }
    if (m_mode == Mode::Slow) {
        co_await delay(exchange, m_delayMs);
    }
    // The handler runs, but its response is discarded, so the caller cannot know that the request took effect.
    if (m_mode == Mode::AnswerLost) {
        exchange.discardResponse();
    }
    if (m_mode == Mode::BreakOff && exchange.request().method() == http::verb::post) {
        exchange.breakOffAfter(static_cast<std::size_t>(m_bodyBytes.load()));
    }
    co_await handler(exchange);
    if (exchange.isResponseDiscarded()) {
        exchange.abortConnection();
    }
}

}
