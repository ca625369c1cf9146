#pragma once

#include "caller/completionrequest.h"
#include "caller/requestdriver.h"

#include <functional>
#include <string>

namespace bamboohold {

/// The HTTP API for callers: authenticates and validates requests and passes them to the RequestDriver. Implements the OpenAI-compatible
/// endpoints and forwards `/services/NAME/…` to plain services.
class CallerApi
{
public:
    struct Options {
        OutputLimits limits;
        Duration defaultDeadline = std::chrono::minutes(2);
    };

    /// Returns the active configuration, or null until the first one has been loaded.
    using ConfigurationSource = std::function<ConfigurationPointer()>;

    CallerApi(RequestDriver &driver, ConfigurationSource configuration, Options options);

    /// Handles one HTTP request and writes its response.
    asio::awaitable<void> handle(HttpExchange &exchange);

    /// Rejects all later requests with FailureKind::Draining. Requests that are already being handled continue.
    void beginDrain()
    {
        m_draining = true;
    }

private:
    absl::StatusOr<RoutedRequest> parseRequest(const HttpExchange &exchange, const Configuration &configuration) const;
    absl::Status readCompletionCall(const HttpExchange &exchange, const Configuration &configuration, RoutedRequest &request) const;
    absl::Status readServiceCall(const HttpExchange &exchange, const Configuration &configuration, RoutedRequest &request) const;
    absl::StatusOr<Duration> requestedDeadline(const HttpExchange &exchange) const;
    asio::awaitable<void> rejectRequest(HttpExchange &exchange, const Failure &failure);
    static std::string modelList(const Configuration &configuration);

    RequestDriver &m_driver;
    ConfigurationSource m_configuration;
    Options m_options;
    std::atomic<bool> m_draining = false;
};

}
