#include "gateway/retrybudget.h"

#include <algorithm>
#include <cmath>

namespace bamboohold {

namespace {

/// What a sum of parts may lack by rounding.
constexpr double s_rounding = 1e-9;

bool coversRetry(double earned)
{
    return earned + s_rounding >= 1;
}

void dropBefore(std::deque<Instant> &instants, Instant limit)
{
    while (!instants.empty() && instants.front() < limit) {
        instants.pop_front();
    }
}

}

RetryBudget::RetryBudget(Options options)
    : m_options(options)
{
}

RetryBudget::Account &RetryBudget::account(const std::string &service, Instant now)
{
    Account &account = m_accounts[service];
    // The caller sent the request some time before it was read, and a retry arrives some time after it was taken.
    dropBefore(account.requests, now - (m_options.window - m_options.maxCallerDelay - m_options.maxSendDelay));
    dropBefore(account.slackRetries, now - m_options.span());
    const double carried = m_options.ratio * m_options.carriedShare * static_cast<double>(account.requests.size());
    account.earned = std::min(account.earned, carried);
    return account;
}

void RetryBudget::recordRequest(const std::string &service, Instant readAt)
{
    Account &current = account(service, readAt);
    current.requests.insert(std::ranges::upper_bound(current.requests, readAt), readAt);
    current.earned += m_options.ratio * m_options.usedShare;
}

std::size_t RetryBudget::slackShare(FleetPosition position) const
{
    // What is left of the division goes to those of the lowest ranks. The share of a router that counts more others is never larger.
    const auto slack = static_cast<std::size_t>(std::floor(m_options.slack));
    return position.rank < slack ? (slack - position.rank + position.routers - 1) / position.routers : 0;
}

bool RetryBudget::hasRetry(const std::string &service, std::optional<FleetPosition> position, Instant now)
{
    const Account &current = account(service, now);
    return coversRetry(current.earned) || (position && current.slackRetries.size() < slackShare(*position));
}

bool RetryBudget::tryAcquireRetry(const std::string &service, std::optional<FleetPosition> position, Instant now)
{
    if (!hasRetry(service, position, now)) {
        return false;
    }
    Account &current = account(service, now);
    if (coversRetry(current.earned)) {
        current.earned = std::max(current.earned - 1, 0.0);
    } else {
        current.slackRetries.push_back(now);
    }
    return true;
}

RetryBudget::Usage RetryBudget::usage(const std::string &service, Instant now)
{
    const Account &current = account(service, now);
    return {.earned = current.earned, .slackRetries = current.slackRetries.size()};
}

}
