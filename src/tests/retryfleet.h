#pragma once

#include "clock/instant.h"
#include "gateway/retrybudget.h"
#include "membership/liverouters.h"
#include "membership/routerlease.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace bamboohold {

/// Retries of a fleet in some window, and how many the limit allows there.
struct RetryWindow {
    Duration from{};
    std::size_t retries = 0;
    std::size_t requests = 0;
    double allowed = 0;

    double excess() const
    {
        return static_cast<double>(retries) - allowed;
    }
};

/// Routers that send every request to targets which decline it, in simulated time. Each one consists of its decision objects; all that they
/// have in common are the rows that they write into a store. Each request is sent to at most five targets.
class RetryFleet
{
public:
    /// The stated limit: retries per request, and additional ones, within a window.
    static constexpr double s_ratio = 0.2;
    static constexpr std::size_t s_slack = 58;
    static constexpr Duration s_window = std::chrono::seconds(10);

    struct Options {
        std::size_t routers = 5;
        double requestsPerSecond = 120;
        /// The longest time from the moment at which a caller sends a request until a router has read it.
        Duration maxCallerDelay = std::chrono::milliseconds(20);
        /// The longest time from the decision to retry until the request arrives at its target.
        Duration maxSendDelay = std::chrono::milliseconds(20);
        /// The longest time of a call to the store in one direction.
        Duration maxStoreDelay = std::chrono::milliseconds(20);
        std::uint64_t seed = 1;
    };

    explicit RetryFleet(Options options);

    /// Schedules an event.
    void at(Duration time, std::function<void()> event);
    /// Simulates up to this time.
    void run(Duration until);

    std::size_t routers() const
    {
        return m_routers.size();
    }

    /// Ends a router at once, and starts it again after `away`.
    void kill(std::size_t router, Duration away);
    void killAll(Duration away);
    /// As `kill`, but the router removes its row first.
    void stop(std::size_t router, Duration away);
    /// Adds a router that starts now.
    void add();
    /// Cuts a router off from the store.
    void cut(std::size_t router, Duration length);
    /// The store answers nobody.
    void loseStore(Duration length);
    /// The store returns from a copy of this age.
    void returnStore(Duration age);
    void setLoad(double requestsPerSecond);
    /// All callers come in at this router while it runs.
    void preferRouter(std::optional<std::size_t> router);
    /// Whether targets decline requests.
    void setDeclining(bool declining);

    /// The window that exceeds the limit most.
    RetryWindow worstWindow() const;
    std::size_t requestsBetween(Duration from, Duration until) const;
    std::size_t retriesBetween(Duration from, Duration until) const;

private:
    struct Router {
        std::string name;
        /// Counts the processes that ran here.
        unsigned life = 0;
        bool running = false;
        bool leaving = false;
        Duration cutUntil{};
        std::unique_ptr<RetryBudget> budget;
        std::unique_ptr<LiveRouters> live;
        std::unique_ptr<RouterLease> lease;
        /// The store's time in its latest answer, and when that was asked for.
        StoreTimeMs storeTime = 0;
        Instant storeTimeAt{};
        StoreGeneration generation = 0;
        bool rowLost = false;
    };

    struct Event {
        Duration time{};
        std::uint64_t number = 0;
        std::function<void()> action;
    };

    struct Later {
        bool operator()(const Event &one, const Event &other) const
        {
            return std::tie(one.time, one.number) > std::tie(other.time, other.number);
        }
    };

    using Rows = std::map<std::string, StoreTimeMs>;

    struct Copy {
        Duration madeAt{};
        Rows rows;
    };

    Instant instant() const;
    StoreTimeMs storeTime() const;
    Duration drawn(Duration longest);
    void start(std::size_t router, bool firstStart);
    bool reaches(const Router &router) const;
    void write(std::size_t index, std::function<void(bool)> done);
    void count(std::size_t index, std::function<void(bool)> done);
    void maintainRow(std::size_t index);
    /// Schedules an event that is dropped if the router's process has ended by then.
    void whileRunning(std::size_t index, Duration delay, std::function<void()> action);
    void sendRequest();
    void retry(std::size_t index, unsigned attempt);
    bool tryRetry(Router &router);
    std::optional<std::size_t> entryRouter();
    void copyStore();

    Options m_options;
    std::mt19937_64 m_random;
    Duration m_now{};
    std::priority_queue<Event, std::vector<Event>, Later> m_events;
    std::uint64_t m_eventNumber = 0;
    std::vector<Router> m_routers;
    Rows m_rows;
    std::deque<Copy> m_copies;
    StoreGeneration m_generation = 0;
    Duration m_storeLostUntil{};
    double m_requestsPerSecond = 0;
    std::optional<std::size_t> m_preferred;
    bool m_declining = true;
    /// In order.
    std::vector<Duration> m_sent;
    mutable std::vector<Duration> m_retries;
};

}
