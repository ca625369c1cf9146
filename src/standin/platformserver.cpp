#include "standin/platformserver.h"

#include "clock/steadytime.h"
#include "standin/faultswitch.h"

#include <absl/strings/numbers.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace bamboohold {

namespace {

constexpr std::string_view s_objectsPath = "/v1/objects/";

boost::json::value parsedBody(const HttpExchange &exchange)
{
    boost::json::error_code error;
    return boost::json::parse(exchange.request().body(), error);
}

std::string badRequest(std::string_view detail)
{
    return errorBody({.kind = FailureKind::InvalidRequest, .detail = std::string(detail)}, "");
}

std::string rowsBody(const std::vector<TableRow> &rows)
{
    boost::json::array list;
    for (const TableRow &row : rows) {
        list.emplace_back(toJson(row));
    }
    return boost::json::serialize(boost::json::object{{"rows", std::move(list)}});
}

}

PlatformServer::PlatformServer(Options options)
    : m_options(options)
{
}

PlatformServer::Response PlatformServer::transact(const HttpExchange &exchange)
{
    const auto transaction = transactionFromJson(parsedBody(exchange));
    if (!transaction.ok()) {
        return {.status = 400, .body = badRequest(toFailure(transaction.status()).detail)};
    }
    return {.body = boost::json::serialize(toJson(*m_table.transact(*transaction)))};
}

PlatformServer::Response PlatformServer::readRows(const HttpExchange &exchange)
{
    const boost::json::value body = parsedBody(exchange);
    const auto *keys = body.is_object() ? body.get_object().if_contains("keys") : nullptr;
    if (keys == nullptr || !keys->is_array()) {
        return {.status = 400, .body = badRequest("a read needs a list 'keys'")};
    }
    std::vector<TableRow> rows;
    for (const boost::json::value &key : keys->get_array()) {
        rows.push_back(*m_table.read(key.is_string() ? std::string(key.get_string()) : std::string()));
        ++m_reads;
    }
    return {.body = rowsBody(rows)};
}

PlatformServer::Response PlatformServer::scanRows(const HttpExchange &exchange)
{
    ++m_reads;
    return {.body = rowsBody(*m_table.scan(queryParameter(exchange, "prefix")))};
}

PlatformServer::Response PlatformServer::handleObject(const HttpExchange &exchange)
{
    const std::string_view key = exchange.path().substr(s_objectsPath.size());
    if (exchange.request().method() == http::verb::put) {
        (void)m_table.putObject(key, exchange.request().body());
        return {.body = "{}"};
    }
    const auto content = m_table.readObject(key);
    if (!content.ok()) {
        return {.status = 404, .body = errorBody(toFailure(content.status()), "")};
    }
    return {.body = *content, .contentType = "application/octet-stream"};
}

PlatformServer::Response PlatformServer::handleHosts(const HttpExchange &exchange)
{
    const Instant now = steadyNow();
    if (exchange.request().method() == http::verb::post) {
        m_hostChanges.push_back(
            {.host = queryParameter(exchange, "host"), .state = queryParameter(exchange, "state"), .visibleAt = now + m_options.listLag});
        return {.body = "{}"};
    }
    while (!m_hostChanges.empty() && m_hostChanges.front().visibleAt <= now) {
        const HostChange &change = m_hostChanges.front();
        if (change.state == "gone") {
            m_visibleHosts.erase(change.host);
        } else {
            m_visibleHosts[change.host] = change.state;
        }
        m_hostChanges.pop_front();
    }
    boost::json::array list;
    for (const auto &[host, state] : m_visibleHosts) {
        list.emplace_back(boost::json::object{{"host", host}, {"state", state}});
    }
    return {.body = boost::json::serialize(boost::json::object{{"hosts", std::move(list)}})};
}

PlatformServer::Response PlatformServer::handleCounters()
{
    const boost::json::object body{{"writes", static_cast<std::int64_t>(m_table.writes())}, {"reads", static_cast<std::int64_t>(m_reads)}};
    return {.body = boost::json::serialize(body)};
}

asio::awaitable<void> PlatformServer::handleWeights(HttpExchange &exchange)
{
    std::int64_t bytes = 0;
    (void)absl::SimpleAtoi(queryParameter(exchange, "bytes"), &bytes);
    Duration delay{};
    {
        const std::lock_guard lock(m_mutex);
        const Instant now = steadyNow();
        const auto transfer = Duration(bytes * 1'000'000 / m_options.weightBytesPerSecond);
        m_weightsFreeAt = std::max(now, m_weightsFreeAt) + transfer;
        delay = m_weightsFreeAt - now;
    }
    asio::steady_timer timer(exchange.executor(), delay);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    co_await exchange.respond(200, "application/json", "{}");
}

asio::awaitable<void> PlatformServer::handle(HttpExchange &exchange)
{
    const std::string_view path = exchange.path();
    if (path == "/v1/weights") {
        co_await handleWeights(exchange);
        co_return;
    }
    Response response{.status = 404, .body = errorBody({.kind = FailureKind::NotFound, .detail = std::string(path)}, "")};
    {
        const std::lock_guard lock(m_mutex);
        if (path == "/v1/table/transact") {
            response = transact(exchange);
        } else if (path == "/v1/table/read") {
            response = readRows(exchange);
        } else if (path == "/v1/table/scan") {
            response = scanRows(exchange);
        } else if (path.starts_with(s_objectsPath)) {
            response = handleObject(exchange);
        } else if (path == "/v1/hosts") {
            response = handleHosts(exchange);
        } else if (path == "/healthz") {
            response = {.body = "{}"};
        } else if (path == "/counters") {
            response = handleCounters();
        }
    }
    co_await exchange.respond(response.status, response.contentType, std::move(response.body));
}

}
