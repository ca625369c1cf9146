#include "caller/callerapi.h"

#include "clock/steadytime.h"
#include "net/incarnation.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/json/serialize.hpp>

namespace bamboohold {

namespace {

constexpr std::string_view s_chatPath = "/v1/chat/completions";
constexpr std::string_view s_completionPath = "/v1/completions";
constexpr std::string_view s_modelsPath = "/v1/models";
constexpr std::string_view s_servicesPath = "/services/";
constexpr std::string_view s_bearerPrefix = "Bearer ";
constexpr std::string_view s_deadlineHeader = "X-Request-Deadline-Ms";
constexpr std::string_view s_nonIdempotentHeader = "X-Non-Idempotent";
constexpr std::size_t s_maxIdempotencyKeyBytes = 255;
constexpr std::int64_t s_maxDeadlineMs = 3'600'000;
constexpr std::int64_t s_unavailableRetryAfterMs = 1'000;

}

CallerApi::CallerApi(RequestDriver &driver, ConfigurationSource configuration, Options options)
    : m_driver(driver)
    , m_configuration(std::move(configuration))
    , m_options(options)
{
}

asio::awaitable<void> CallerApi::rejectRequest(HttpExchange &exchange, const Failure &failure)
{
    std::vector<HttpHeader> headers;
    appendRetryAfter(headers, failure);
    co_await exchange.respond(httpStatus(failure.kind), "application/json", errorBody(failure, ""), std::move(headers));
}

asio::awaitable<void> CallerApi::handle(HttpExchange &exchange)
{
    const ConfigurationPointer configuration = m_configuration();
    if (configuration == nullptr) {
        const Failure failure{
            .kind = FailureKind::NoTarget, .detail = "no configuration is in force yet", .retryAfterMs = s_unavailableRetryAfterMs};
        co_await rejectRequest(exchange, failure);
        co_return;
    }
    if (m_draining) {
        const Failure failure{
            .kind = FailureKind::Draining, .detail = "this router is shutting down", .retryAfterMs = s_unavailableRetryAfterMs};
        exchange.setConnectionClose();
        co_await rejectRequest(exchange, failure);
        co_return;
    }
    auto request = parseRequest(exchange, *configuration);
    if (!request.ok()) {
        co_await rejectRequest(exchange, toFailure(request.status()));
        co_return;
    }
    if (exchange.path() == s_modelsPath) {
        co_await exchange.respond(200, "application/json", modelList(*configuration));
        co_return;
    }
    co_await m_driver.serve(exchange, *std::move(request));
}

absl::StatusOr<Duration> CallerApi::requestedDeadline(const HttpExchange &exchange) const
{
    const std::string_view text = exchange.header(s_deadlineHeader);
    if (text.empty()) {
        return m_options.defaultDeadline;
    }
    std::int64_t milliseconds = 0;
    if (!absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &milliseconds) || milliseconds < 1
        || milliseconds > s_maxDeadlineMs) {
        return failed(FailureKind::InvalidRequest,
                      absl::StrCat("X-Request-Deadline-Ms must be a whole number from 1 to ", s_maxDeadlineMs));
    }
    return std::chrono::milliseconds(milliseconds);
}

absl::StatusOr<RoutedRequest> CallerApi::parseRequest(const HttpExchange &exchange, const Configuration &configuration) const
{
    std::string_view authorization = exchange.header("Authorization");
    if (!authorization.starts_with(s_bearerPrefix)) {
        return failed(FailureKind::Unauthenticated, "a header 'Authorization: Bearer KEY' is required");
    }
    const Team *team = configuration.authenticate(authorization.substr(s_bearerPrefix.size()));
    if (team == nullptr) {
        return failed(FailureKind::Unauthenticated, "the key is not known");
    }
    const auto deadline = requestedDeadline(exchange);
    if (!deadline.ok()) {
        return deadline.status();
    }
    RoutedRequest request{.requestId = newRequestId(), .team = team->name, .budget = team->budget};
    request.deadline = steadyNow() + *deadline;
    request.method = std::string(exchange.request().method_string());
    const std::string_view type = exchange.header("Content-Type");
    request.contentType = type.empty() ? "application/json" : std::string(type);
    request.nonIdempotent = exchange.header(s_nonIdempotentHeader) == "true";
    request.idempotencyKey = std::string(exchange.header("Idempotency-Key"));
    if (request.idempotencyKey.size() > s_maxIdempotencyKeyBytes) {
        return failed(FailureKind::InvalidRequest, absl::StrCat("Idempotency-Key must have at most ", s_maxIdempotencyKeyBytes, " bytes"));
    }
    const std::string_view path = exchange.path();
    absl::Status status = absl::OkStatus();
    if (path == s_chatPath || path == s_completionPath) {
        status = readCompletionCall(exchange, configuration, request);
    } else if (path.starts_with(s_servicesPath)) {
        status = readServiceCall(exchange, configuration, request);
    } else if (path != s_modelsPath) {
        status = failed(FailureKind::NotFound, std::string("no such path: ").append(path));
    }
    if (!status.ok()) {
        return status;
    }
    return request;
}

absl::Status CallerApi::readCompletionCall(const HttpExchange &exchange, const Configuration &configuration, RoutedRequest &request) const
{
    if (exchange.request().method() != http::verb::post) {
        return failed(FailureKind::InvalidRequest, "this path takes POST");
    }
    auto completion = readCompletionRequest(exchange.request().body(), exchange.path() == s_chatPath, m_options.limits);
    if (!completion.ok()) {
        return completion.status();
    }
    const auto &models = configuration.inventory().models;
    const bool exists = std::any_of(models.begin(), models.end(), [&completion](const Model &model) {
        return model.name == completion->model;
    });
    if (!exists) {
        return failed(FailureKind::UnknownModel, absl::StrCat("no model '", completion->model, "'"));
    }
    if (!configuration.inventory().mayUseModel(request.team, completion->model)) {
        return failed(FailureKind::Forbidden, absl::StrCat("team '", request.team, "' may not use model '", completion->model, "'"));
    }
    request.path = std::string(exchange.path());
    request.model = std::move(completion->model);
    request.body = std::move(completion->engineBody);
    request.streamed = completion->streamed;
    request.bound = completion->bound;
    request.outputLimit = completion->outputLimit;
    return absl::OkStatus();
}

absl::Status CallerApi::readServiceCall(const HttpExchange &exchange, const Configuration &configuration, RoutedRequest &request) const
{
    const std::string_view target(exchange.request().target().data(), exchange.request().target().size());
    const std::string_view rest = target.substr(s_servicesPath.size());
    const std::size_t slash = std::min(rest.find('/'), rest.size());
    request.service = std::string(rest.substr(0, slash));
    request.path = slash == rest.size() ? "/" : std::string(rest.substr(slash));
    const auto &targets = configuration.inventory().targets;
    const bool exists = std::any_of(targets.begin(), targets.end(), [&request](const Target &entry) {
        return entry.isService() && entry.service == request.service;
    });
    if (!exists) {
        return failed(FailureKind::UnknownService, absl::StrCat("no service '", request.service, "'"));
    }
    if (!configuration.inventory().mayUseService(request.team, request.service)) {
        return failed(FailureKind::Forbidden, absl::StrCat("team '", request.team, "' may not use service '", request.service, "'"));
    }
    request.body = exchange.request().body();
    // The caller's header can mark a call as non-idempotent, but cannot override a configured rule that does so.
    request.nonIdempotent =
        request.nonIdempotent || configuration.inventory().isNonIdempotent(request.service, request.method, request.path);
    return absl::OkStatus();
}

std::string CallerApi::modelList(const Configuration &configuration)
{
    boost::json::array data;
    for (const Model &model : configuration.inventory().models) {
        data.emplace_back(boost::json::object{{"id", model.name}, {"object", "model"}, {"owned_by", configuration.inventory().name}});
    }
    return boost::json::serialize(boost::json::object{{"object", "list"}, {"data", std::move(data)}});
}

}
