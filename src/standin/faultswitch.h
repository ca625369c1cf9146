#pragma once

#include "net/httpserver.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <string>
#include <string_view>

namespace bamboohold {

/// Injects faults into a stand-in. The fault is set with `POST /fault?mode=MODE&ms=N`, or `&bytes=N`, and read with `GET /fault`.
class FaultSwitch
{
public:
    enum class Mode {
        None,
        /// Closes connections without handling the request.
        Down,
        /// Delays each request by the number of milliseconds given with the mode.
        Slow,
        /// Handles the request, but closes the connection instead of sending the response.
        AnswerLost,
        /// Holds all requests until the mode changes.
        Freeze,
        /// Sends the answers to POST requests without a length or chunks, and closes their connections in order after the number of bytes
        /// given with the mode.
        BreakOff,
    };

    /// Returns a handler that serves `/fault` itself and applies the current fault to all requests for `handler`.
    HttpHandler wrap(HttpHandler handler);

    /// Returns the current mode.
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
    std::atomic<std::int64_t> m_bodyBytes = 0;
};

/// Returns a parameter of a request's query string, or an empty string if it is absent.
std::string queryParameter(const HttpExchange &exchange, std::string_view name);

}
