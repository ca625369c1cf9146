#include "retryfleet.h"

#include <algorithm>
#include <utility>

namespace bamboohold {

namespace {

constexpr Duration s_interval = std::chrono::seconds(4);
constexpr Duration s_rowTimeout = std::chrono::seconds(12);
constexpr Duration s_startupWait = std::chrono::milliseconds(1500);
/// How long a router waits for an answer of the store.
constexpr Duration s_callTimeout = std::chrono::milliseconds(1500);
/// The store can return from copies that were made at this interval.
constexpr Duration s_copyInterval = std::chrono::milliseconds(250);
constexpr std::size_t s_copiesKept = 80;
constexpr Duration s_declineTime = std::chrono::milliseconds(8);
constexpr unsigned s_maxRetries = 4;
/// The share of callers that still connect to a router that has ended.
constexpr double s_lostShare = 0.3;

RetryBudget::Options retryOptions()
{
    return {.ratio = RetryFleet::s_ratio, .slack = static_cast<double>(RetryFleet::s_slack), .window = RetryFleet::s_window};
}

std::size_t between(const std::vector<Duration> &times, Duration from, Duration until)
{
    return static_cast<std::size_t>(std::ranges::lower_bound(times, until) - std::ranges::lower_bound(times, from));
}

}

RetryFleet::RetryFleet(Options options)
    : m_options(options)
    , m_random(options.seed)
    , m_requestsPerSecond(options.requestsPerSecond)
{
    copyStore();
    for (std::size_t index = 0; index < options.routers; ++index) {
        m_routers.emplace_back().name = "10.0.0." + std::to_string(index + 1) + ":7400";
        at(drawn(std::chrono::milliseconds(300)), [this, index] {
            start(index, true);
        });
    }
    sendRequest();
}

void RetryFleet::at(Duration time, std::function<void()> event)
{
    m_events.push({.time = time, .number = ++m_eventNumber, .action = std::move(event)});
}

void RetryFleet::run(Duration until)
{
    while (!m_events.empty() && m_events.top().time <= until) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.time;
        event.action();
    }
    m_now = until;
    std::ranges::sort(m_retries);
}

Instant RetryFleet::instant() const
{
    return Instant{} + std::chrono::hours(1) + m_now;
}

StoreTimeMs RetryFleet::storeTime() const
{
    constexpr StoreTimeMs origin = 1'000'000;
    return origin + std::chrono::duration_cast<std::chrono::milliseconds>(m_now).count();
}

Duration RetryFleet::drawn(Duration longest)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, longest.count())(m_random));
}

void RetryFleet::whileRunning(std::size_t index, Duration delay, std::function<void()> action)
{
    at(m_now + delay, [this, index, life = m_routers[index].life, action = std::move(action)] {
        if (m_routers[index].running && m_routers[index].life == life) {
            action();
        }
    });
}

void RetryFleet::start(std::size_t index, bool firstStart)
{
    Router &router = m_routers[index];
    ++router.life;
    router.running = true;
    router.leaving = false;
    router.budget = std::make_unique<RetryBudget>(retryOptions());
    router.live = std::make_unique<LiveRouters>(LiveRouters::Options{.interval = s_interval, .rowTimeout = s_rowTimeout});
    router.lease = std::make_unique<RouterLease>(RouterLease::Options{.router = router.name, .span = retryOptions().span()});
    router.storeTime = 0;
    router.generation = 0;
    router.rowLost = false;
    if (firstStart) {
        write(index, [this, index](bool) {
            whileRunning(index, s_startupWait, [this, index] {
                maintainRow(index);
            });
        });
    } else {
        count(index, [this, index](bool) {
            maintainRow(index);
        });
    }
}

bool RetryFleet::reaches(const Router &router) const
{
    return m_now >= m_storeLostUntil && m_now >= router.cutUntil;
}

void RetryFleet::write(std::size_t index, std::function<void(bool)> done)
{
    const Router &router = m_routers[index];
    const StoreTimeMs estimate = router.storeTime == 0
        ? 0
        : router.storeTime + std::chrono::duration_cast<std::chrono::milliseconds>(instant() - router.storeTimeAt).count();
    const Instant sentAt = instant();
    const auto fail = [this, index, done] {
        whileRunning(index, s_callTimeout, [done] {
            done(false);
        });
    };
    whileRunning(index, drawn(m_options.maxStoreDelay), [this, index, estimate, sentAt, done, fail] {
        if (!reaches(m_routers[index])) {
            fail();
            return;
        }
        m_rows[m_routers[index].name] = estimate;
        const StoreTimeMs storeTimeThen = storeTime();
        const StoreGeneration generation = m_generation;
        whileRunning(index, drawn(m_options.maxStoreDelay), [this, index, sentAt, done, fail, storeTimeThen, generation] {
            Router &writer = m_routers[index];
            if (!reaches(writer)) {
                fail();
                return;
            }
            writer.storeTime = storeTimeThen;
            writer.storeTimeAt = sentAt;
            writer.generation = std::max(writer.generation, generation);
            writer.lease->recordWrite(sentAt, generation, instant());
            done(true);
        });
    });
}

void RetryFleet::count(std::size_t index, std::function<void(bool)> done)
{
    const Instant sentAt = instant();
    const auto fail = [this, index, done] {
        whileRunning(index, s_callTimeout, [done] {
            done(false);
        });
    };
    whileRunning(index, drawn(m_options.maxStoreDelay), [this, index, sentAt, done, fail] {
        if (!reaches(m_routers[index])) {
            fail();
            return;
        }
        std::vector<LiveRouters::Row> rows;
        for (const auto &[name, writtenAt] : m_rows) {
            rows.push_back({.router = name, .writtenAt = writtenAt});
        }
        const StoreTimeMs storeTimeThen = storeTime();
        const StoreGeneration generation = m_generation;
        whileRunning(index, drawn(m_options.maxStoreDelay), [this, index, sentAt, done, fail, rows, storeTimeThen, generation] {
            Router &reader = m_routers[index];
            if (!reaches(reader) || generation < reader.generation) {
                fail();
                return;
            }
            reader.rowLost = generation > reader.generation;
            reader.generation = generation;
            reader.storeTime = storeTimeThen;
            reader.storeTimeAt = sentAt;
            reader.lease->recordCount(sentAt, reader.live->update(rows, generation, storeTimeThen), generation, instant());
            done(true);
        });
    });
}

void RetryFleet::maintainRow(std::size_t index)
{
    if (m_routers[index].leaving) {
        return;
    }
    write(index, [this, index](bool written) {
        count(index, [this, index, written](bool counted) {
            const bool lost = written && counted && std::exchange(m_routers[index].rowLost, false);
            const Duration pause = lost ? Duration::zero() : (written && counted ? s_interval : s_interval / 4);
            whileRunning(index, pause, [this, index] {
                maintainRow(index);
            });
        });
    });
}

void RetryFleet::kill(std::size_t index, Duration away)
{
    m_routers[index].running = false;
    at(m_now + away, [this, index, life = m_routers[index].life] {
        if (!m_routers[index].running && m_routers[index].life == life) {
            start(index, false);
        }
    });
}

void RetryFleet::killAll(Duration away)
{
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        kill(index, away);
    }
}

void RetryFleet::stop(std::size_t index, Duration away)
{
    if (reaches(m_routers[index])) {
        m_rows.erase(m_routers[index].name);
    }
    m_routers[index].leaving = true;
    m_routers[index].lease->end();
    kill(index, away);
}

void RetryFleet::add()
{
    const std::string name = "10.0.1." + std::to_string(m_routers.size() + 1) + ":7400";
    m_routers.emplace_back().name = name;
    start(m_routers.size() - 1, false);
}

void RetryFleet::cut(std::size_t index, Duration length)
{
    m_routers[index].cutUntil = std::max(m_routers[index].cutUntil, m_now + length);
}

void RetryFleet::loseStore(Duration length)
{
    m_storeLostUntil = std::max(m_storeLostUntil, m_now + length);
}

void RetryFleet::returnStore(Duration age)
{
    const auto copy = std::ranges::find_if(m_copies.rbegin(), m_copies.rend(), [&](const Copy &candidate) {
        return candidate.madeAt <= m_now - age;
    });
    m_rows = copy != m_copies.rend() ? copy->rows : m_copies.front().rows;
    ++m_generation;
}

void RetryFleet::copyStore()
{
    m_copies.push_back({.madeAt = m_now, .rows = m_rows});
    if (m_copies.size() > s_copiesKept) {
        m_copies.pop_front();
    }
    at(m_now + s_copyInterval, [this] {
        copyStore();
    });
}

void RetryFleet::setLoad(double requestsPerSecond)
{
    m_requestsPerSecond = requestsPerSecond;
}

void RetryFleet::preferRouter(std::optional<std::size_t> router)
{
    m_preferred = router;
}

void RetryFleet::setDeclining(bool declining)
{
    m_declining = declining;
}

std::optional<std::size_t> RetryFleet::entryRouter()
{
    if (m_preferred && m_routers[*m_preferred].running) {
        return m_preferred;
    }
    const std::size_t first = std::uniform_int_distribution<std::size_t>(0, m_routers.size() - 1)(m_random);
    if (m_routers[first].running) {
        return first;
    }
    if (std::bernoulli_distribution(s_lostShare)(m_random)) {
        return std::nullopt;
    }
    for (std::size_t step = 1; step < m_routers.size(); ++step) {
        const std::size_t other = (first + step) % m_routers.size();
        if (m_routers[other].running) {
            return other;
        }
    }
    return std::nullopt;
}

void RetryFleet::sendRequest()
{
    constexpr double shortestPause = 1e-5;
    const double pause = std::exponential_distribution<double>(std::max(m_requestsPerSecond, 1.0))(m_random);
    at(m_now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::max(pause, shortestPause))), [this] {
        sendRequest();
    });
    if (m_now == Duration::zero()) {
        return;
    }
    m_sent.push_back(m_now);
    const std::optional<std::size_t> index = entryRouter();
    if (!index) {
        return;
    }
    whileRunning(*index, drawn(m_options.maxCallerDelay), [this, index] {
        m_routers[*index].budget->recordRequest("service", instant());
        whileRunning(*index, s_declineTime, [this, index] {
            retry(*index, 1);
        });
    });
}

bool RetryFleet::tryRetry(Router &router)
{
    return router.budget->tryAcquireRetry("service", router.lease->position("service", instant()), instant());
}

void RetryFleet::retry(std::size_t index, unsigned attempt)
{
    if (!m_declining || !tryRetry(m_routers[index])) {
        return;
    }
    const Duration sendTime = drawn(m_options.maxSendDelay);
    // A request that was sent arrives although its router ends.
    at(m_now + sendTime, [this] {
        m_retries.push_back(m_now);
    });
    if (attempt < s_maxRetries) {
        whileRunning(index, sendTime + s_declineTime, [this, index, attempt] {
            retry(index, attempt + 1);
        });
    }
}

std::size_t RetryFleet::requestsBetween(Duration from, Duration until) const
{
    return between(m_sent, from, until);
}

std::size_t RetryFleet::retriesBetween(Duration from, Duration until) const
{
    return between(m_retries, from, until);
}

RetryWindow RetryFleet::worstWindow() const
{
    std::optional<RetryWindow> worst;
    const auto consider = [&](Duration from) {
        RetryWindow window{.from = from, .retries = retriesBetween(from, from + s_window)};
        for (const Duration earlier : {Duration::zero(), s_window / 2, s_window}) {
            window.requests = std::max(window.requests, requestsBetween(from - earlier, from - earlier + s_window));
        }
        window.allowed = s_ratio * static_cast<double>(window.requests) + static_cast<double>(s_slack);
        if (!worst || window.excess() > worst->excess()) {
            worst = window;
        }
    };
    // The number of retries changes only at these.
    for (const Duration time : m_retries) {
        consider(time);
        consider(time - s_window + Duration(1));
    }
    return worst.value_or(RetryWindow{});
}

}
