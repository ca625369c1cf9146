#include "gateway/retrybudget.h"

#include <algorithm>

namespace bamboohold {

namespace {

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

void RetryBudget::dropExpired(Window &window, Instant now) const
{
    dropBefore(window.requests, now - m_options.window);
    dropBefore(window.retries, now - m_options.window);
}

void RetryBudget::recordRequest(const std::string &service, Instant now)
{
    Window &window = m_windows[service];
    dropExpired(window, now);
    window.requests.push_back(now);
}

bool RetryBudget::tryAcquireRetry(const std::string &service, std::size_t routers, Instant now)
{
    Window &window = m_windows[service];
    dropExpired(window, now);
    const double slack = m_options.slack / static_cast<double>(std::max<std::size_t>(routers, 1));
    const double bound = m_options.usedShare * (m_options.ratio * static_cast<double>(window.requests.size()) + slack);
    if (static_cast<double>(window.retries.size() + 1) > bound) {
        return false;
    }
    window.retries.push_back(now);
    return true;
}

RetryBudget::Usage RetryBudget::usage(const std::string &service, Instant now)
{
    Window &window = m_windows[service];
    dropExpired(window, now);
    return {.requests = window.requests.size(), .retries = window.retries.size()};
}

}
