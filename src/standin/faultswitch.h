#pragma once

#include "net/httpserver.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <string>
#include <string_view>

namespace bamboohold {

/// The failure a stand-in shows on demand. Set with `POST /fault?mode=MODE&ms=N`, read with `GET /fault`.
class FaultSwitch
{
public:
    enum class Mode {
        None,
        /// Connections are cut before the request is looked at.
        Down,
        /// Each answer takes so many milliseconds longer.
        Slow,
        /// The request takes effect and the connection is cut instead of an answer.
        AnswerLost,
        /// Nothing moves until the mode changes.
        Freeze,
    };

    /// Wraps a handler in the fault and in the switch's own path.
    HttpHandler wrap(HttpHandler handler);

    /// The mode in force.
    Mode mode() const
    {
        return m_mode;
    }

private:
    asio::awaitable<void> handle(const HttpHandler &handler, HttpExchange &exchange);
    asio::awaitable<void> handleFaultRequest(HttpExchange &exchange);
    asio::awaitable<void> delay(HttpExchange &exchange, std::int64_t milliseconds);

    std::atomic<Mode> m_mode = Mode::None;
    std::atomic<std::int64_t> m_delayMs = 0;
};

/// A parameter of a request's query, empty when absent.
std::string queryParameter(const HttpExchange &exchange, std::string_view name);

}
