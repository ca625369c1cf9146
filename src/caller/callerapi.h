#pragma once

#include "caller/completionrequest.h"
#include "caller/requestdriver.h"

#include <functional>
#include <string>

namespace bamboohold {

/// The callers' interface: authenticates, checks, and hands requests to the RequestDriver. Speaks the OpenAI-compatible interface and
/// passes
/// `/services/NAME/…` on to plain services.
class CallerApi
{
public:
    struct Options {
        OutputLimits limits;
        Duration defaultDeadline = std::chrono::minutes(2);
    };

    /// The configuration in force, or null before the first.
    using ConfigurationSource = std::function<ConfigurationPointer()>;

    CallerApi(RequestDriver &driver, ConfigurationSource configuration, Options options);

    /// Answers one request.
    asio::awaitable<void> handle(HttpExchange &exchange);

    /// From now on new requests are refused as draining, not run.
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
