#include "gateway/gateway.h"

#include "clock/steadytime.h"
#include "gateway/requestrun.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace bamboohold {

namespace {

/// The endpoint written as ADDRESS:PORT; port 0 when it is not one, to which every connection fails.
asio::ip::tcp::endpoint parsedEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    std::uint32_t port = 0;
    boost::system::error_code error;
    const auto address = asio::ip::make_address(std::string(text.substr(0, colon)), error);
    const bool valid =
        colon != std::string_view::npos && absl::SimpleAtoi(std::string(text.substr(colon + 1)), &port) && port <= UINT16_MAX;
    return valid && !error ? asio::ip::tcp::endpoint(address, static_cast<std::uint16_t>(port)) : asio::ip::tcp::endpoint();
}

}

Gateway::Gateway(asio::any_io_executor executor, Options options, TeamLedger &ledger, Metrics &metrics)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_ledger(ledger)
    , m_metrics(metrics)
    , m_board(m_options.board)
    , m_retries(m_options.retries)
    , m_becameReady(m_executor)
    , m_random(m_options.seed)
{
}

asio::awaitable<void> Gateway::handle(HttpExchange &exchange)
{
    const Instant arrived = steadyNow();
    if (!ready()) {
        co_await waitUntilReady();
    }
    // The request keeps the plan it came under, also when a newer one arrives while it runs.
    RequestRun run(*this, exchange, m_plan, arrived);
    co_await run.serve();
}

asio::awaitable<void> Gateway::waitUntilReady()
{
    const Instant giveUp = steadyNow() + m_options.startPatience;
    while (!ready() && steadyNow() < giveUp) {
        co_await m_becameReady.wait(giveUp - steadyNow());
    }
}

bool Gateway::setPlan(std::shared_ptr<const RoutingPlan> plan)
{
    if (m_plan && plan->version() <= m_plan->version()) {
        return false;
    }
    m_plan = std::move(plan);
    for (const TeamPlan &team : m_plan->teams()) {
        if (team.prepaid) {
            m_ledger.setPrepaid(team.name, {.prepaid = *team.prepaid, .planVersion = m_plan->version()});
        }
    }
    m_becameReady.notify();
    return true;
}

std::shared_ptr<HttpClient> Gateway::client(const Placement &placement)
{
    auto &client = m_clients[placement.incarnation];
    if (!client) {
        client = std::make_shared<HttpClient>(m_executor, parsedEndpoint(placement.address));
    }
    return client;
}

void Gateway::prune()
{
    std::erase_if(m_clients, [this](const auto &entry) {
        return !m_board.lists(entry.first);
    });
}

const std::string &Gateway::chooseService(const Route &route)
{
    double total = 0;
    for (const ServiceShare &share : route.services) {
        total += share.weight;
    }
    double drawn = std::uniform_real_distribution<double>(0, total)(m_random);
    for (const ServiceShare &share : route.services) {
        drawn -= share.weight;
        if (drawn < 0) {
            return share.service;
        }
    }
    return route.services.back().service;
}

}
