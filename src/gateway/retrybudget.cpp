#include "gateway/retrybudget.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bamboohold {

namespace {

/// The part of a request that sums of parts may lack by rounding.
constexpr double s_rounding = 1e-9;

}

RetryBudget::RetryBudget(Options options)
    : m_options(options)
    , m_requestsPerRetry(options.ratio * options.usedShare > 0 ? 1 / (options.ratio * options.usedShare)
                                                               : std::numeric_limits<double>::infinity())
{
}

RetryBudget::Account &RetryBudget::account(const std::string &service, Instant now)
{
    Account &account = m_accounts[service];
    // The caller sent the request some time before it was read, and a retry arrives some time after it was taken.
    const Duration lifetime = m_options.window - m_options.maxCallerDelay - m_options.maxSendDelay;
    while (!account.requests.empty() && account.requests.front() + lifetime < now) {
        account.requests.pop_front();
        account.spentOfOldest = 0;
    }
    while (!account.slackRetries.empty() && account.slackRetries.front() + m_options.span() < now) {
        account.slackRetries.pop_front();
    }
    return account;
}

void RetryBudget::recordRequest(const std::string &service, Instant now)
{
    account(service, now).requests.push_back(now);
}

bool RetryBudget::coveredByRequests(const Account &account) const
{
    return static_cast<double>(account.requests.size()) - account.spentOfOldest + s_rounding >= m_requestsPerRetry;
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
    return coveredByRequests(current) || (position && current.slackRetries.size() < slackShare(*position));
}

bool RetryBudget::tryAcquireRetry(const std::string &service, std::optional<FleetPosition> position, Instant now)
{
    if (!hasRetry(service, position, now)) {
        return false;
    }
    Account &current = account(service, now);
    if (!coveredByRequests(current)) {
        current.slackRetries.push_back(now);
        return true;
    }
    // Of the oldest requests first, as they expire first.
    current.spentOfOldest += m_requestsPerRetry;
    while (current.spentOfOldest + s_rounding >= 1) {
        current.requests.pop_front();
        current.spentOfOldest -= 1;
    }
    current.spentOfOldest = current.requests.empty() ? 0 : std::max(current.spentOfOldest, 0.0);
    return true;
}

RetryBudget::Usage RetryBudget::usage(const std::string &service, Instant now)
{
    const Account &current = account(service, now);
    return {.unspentRequests = current.requests.size(), .slackRetries = current.slackRetries.size()};
}

}
