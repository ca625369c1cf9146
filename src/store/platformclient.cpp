#include "store/platformclient.h"

#include "clock/steadytime.h"
#include "failure/failure.h"

#include <absl/strings/str_cat.h>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace bamboohold {

namespace {

constexpr Duration s_directRetryInterval = std::chrono::seconds(5);
constexpr unsigned s_ok = 200;
constexpr unsigned s_notFound = 404;

absl::StatusOr<boost::json::value> parseObject(const HttpReply &reply)
{
    boost::json::error_code error;
    boost::json::value value = boost::json::parse(reply.body, error);
    if (error || !value.is_object()) {
        return failed(FailureKind::TableUnreachable, "the platform's answer is not a JSON object", Executed::Unknown);
    }
    return value;
}

std::vector<TableRow> rowsFromJson(const boost::json::value &value)
{
    std::vector<TableRow> rows;
    const auto *list = value.get_object().if_contains("rows");
    if (list != nullptr && list->is_array()) {
        for (const boost::json::value &item : list->get_array()) {
            rows.push_back(rowFromJson(item));
        }
    }
    return rows;
}

}

PlatformClient::PlatformClient(asio::any_io_executor executor, asio::ip::tcp::endpoint endpoint, Duration timeout)
    : m_client(std::move(executor), std::move(endpoint))
    , m_timeout(timeout)
{
}

void PlatformClient::setRelay(Relay relay)
{
    m_relay = std::move(relay);
}

asio::awaitable<absl::StatusOr<HttpReply>> PlatformClient::callDirectly(HttpCallOptions options)
{
    ++m_calls;
    options.timeout = m_timeout;
    auto reply = co_await m_client.call(std::move(options));
    if (!reply.ok()) {
        co_return failed(FailureKind::TableUnreachable, reply.status().message().data(), Executed::Unknown);
    }
    if (reply->framing == AnswerFraming::Connection) {
        // The platform may have crashed within an object, which nothing else would show.
        co_return failed(FailureKind::TableUnreachable, "the platform's answer has no length", Executed::Unknown);
    }
    if (reply->status != s_ok && reply->status != s_notFound) {
        co_return failed(FailureKind::TableUnreachable, absl::StrCat("the platform answered ", reply->status), Executed::Unknown);
    }
    co_return reply;
}

asio::awaitable<absl::StatusOr<HttpReply>> PlatformClient::call(HttpCallOptions options)
{
    if (m_relay && steadyNow() < m_relayFirstUntil) {
        auto relayed = co_await m_relay(options);
        if (relayed.ok()) {
            co_return relayed;
        }
    }
    auto reply = co_await callDirectly(options);
    if (reply.ok() || !m_relay) {
        co_return reply;
    }
    m_relayFirstUntil = steadyNow() + s_directRetryInterval;
    co_return co_await m_relay(options);
}

asio::awaitable<absl::StatusOr<TableTransactionResult>> PlatformClient::transact(const TableTransaction &transaction)
{
    HttpCallOptions options{.method = "POST", .path = "/v1/table/transact", .body = boost::json::serialize(toJson(transaction))};
    const auto reply = co_await call(std::move(options));
    if (!reply.ok()) {
        co_return reply.status();
    }
    const auto value = parseObject(*reply);
    if (!value.ok()) {
        co_return value.status();
    }
    co_return tableResultFromJson(*value);
}

asio::awaitable<absl::StatusOr<std::vector<TableRow>>> PlatformClient::read(const std::vector<std::string> &keys)
{
    boost::json::array list;
    for (const std::string &key : keys) {
        list.emplace_back(key);
    }
    const boost::json::object body{{"keys", std::move(list)}};
    HttpCallOptions options{.method = "POST", .path = "/v1/table/read", .body = boost::json::serialize(body)};
    const auto reply = co_await call(std::move(options));
    if (!reply.ok()) {
        co_return reply.status();
    }
    const auto value = parseObject(*reply);
    if (!value.ok()) {
        co_return value.status();
    }
    co_return rowsFromJson(*value);
}

asio::awaitable<absl::StatusOr<TableRow>> PlatformClient::readOne(std::string key)
{
    const std::vector<std::string> keys{std::move(key)};
    const auto rows = co_await read(keys);
    if (!rows.ok()) {
        co_return rows.status();
    }
    if (rows->size() != 1) {
        co_return failed(FailureKind::TableUnreachable, "the platform answered another number of rows", Executed::Unknown);
    }
    co_return rows->front();
}

asio::awaitable<absl::StatusOr<std::vector<TableRow>>> PlatformClient::scan(std::string_view prefix)
{
    HttpCallOptions options{.path = std::string("/v1/table/scan?prefix=").append(prefix)};
    const auto reply = co_await call(std::move(options));
    if (!reply.ok()) {
        co_return reply.status();
    }
    const auto value = parseObject(*reply);
    if (!value.ok()) {
        co_return value.status();
    }
    co_return rowsFromJson(*value);
}

asio::awaitable<absl::Status> PlatformClient::putObject(std::string key, std::string content)
{
    HttpCallOptions options{.method = "PUT", .path = "/v1/objects/" + key, .body = std::move(content)};
    const auto reply = co_await call(std::move(options));
    co_return reply.status();
}

asio::awaitable<absl::StatusOr<std::string>> PlatformClient::readObject(std::string key)
{
    HttpCallOptions options{.path = "/v1/objects/" + key};
    const auto reply = co_await call(std::move(options));
    if (!reply.ok()) {
        co_return reply.status();
    }
    if (reply->status == s_notFound) {
        co_return failed(FailureKind::NotFound, key);
    }
    co_return reply->body;
}

asio::awaitable<absl::StatusOr<std::vector<ListedHost>>> PlatformClient::hosts()
{
    HttpCallOptions options{.path = "/v1/hosts"};
    const auto reply = co_await call(std::move(options));
    if (!reply.ok()) {
        co_return reply.status();
    }
    const auto value = parseObject(*reply);
    if (!value.ok()) {
        co_return value.status();
    }
    std::vector<ListedHost> hosts;
    const auto *list = value->get_object().if_contains("hosts");
    if (list != nullptr && list->is_array()) {
        for (const boost::json::value &item : list->get_array()) {
            const boost::json::object &host = item.as_object();
            hosts.push_back({.host = textField(host, "host"), .leaving = textField(host, "state") == "leaving"});
        }
    }
    co_return hosts;
}

}
