#include "retryfleet.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace bamboohold;

namespace {

constexpr Duration s_ms = std::chrono::milliseconds(1);
constexpr Duration s_second = std::chrono::seconds(1);
/// When targets begin to decline, in a fleet that has run for a while.
constexpr Duration s_failureAt = 40 * s_second;
constexpr std::uint64_t s_scenarioSeeds = 12;

/// Checks the stated limit in every window of a scenario, for several seeds. Targets decline from `s_failureAt` on.
void checkLimit(RetryFleet::Options options, const std::function<void(RetryFleet &)> &scenario)
{
    for (std::uint64_t seed = 1; seed <= s_scenarioSeeds; ++seed) {
        options.seed = seed;
        RetryFleet fleet(options);
        fleet.setDeclining(false);
        fleet.at(s_failureAt, [&fleet] {
            fleet.setDeclining(true);
        });
        scenario(fleet);
        fleet.run(s_failureAt + 40 * s_second);
        const RetryWindow worst = fleet.worstWindow();
        BOOST_TEST(worst.excess() <= 0,
                   "seed " << seed << ": " << worst.retries << " retries in the window from " << seconds(worst.from) << " s, "
                           << worst.requests << " requests, " << worst.allowed << " allowed");
    }
}

}

BOOST_AUTO_TEST_SUITE(RetryFleetTest)

// Guards against routers that forget, when they start again, what they used of the limit in the same window.
BOOST_AUTO_TEST_CASE(restartedRoutersBringNoNewShare)
{
    checkLimit({.routers = 5}, [](RetryFleet &fleet) {
        for (const Duration after : {2 * s_second, 5 * s_second, 8 * s_second}) {
            fleet.at(s_failureAt + after, [&fleet] {
                fleet.killAll(600 * s_ms);
            });
        }
    });
}

// Guards against the same in a larger fleet, where other routers run each time.
BOOST_AUTO_TEST_CASE(mostRoutersRestartedInSeries)
{
    checkLimit({.routers = 10, .requestsPerSecond = 200}, [](RetryFleet &fleet) {
        for (int round = 0; round < 7; ++round) {
            fleet.at(s_failureAt + s_second + round * 1500 * s_ms, [&fleet, round] {
                for (std::size_t count = 0; count < 6; ++count) {
                    fleet.kill((count + static_cast<std::size_t>(round)) % fleet.routers(), 500 * s_ms);
                }
            });
        }
    });
}

// Guards against routers that take the whole slack because they have not counted the others.
BOOST_AUTO_TEST_CASE(routersThatStartWithoutTheStore)
{
    checkLimit({.routers = 8, .requestsPerSecond = 30}, [](RetryFleet &fleet) {
        fleet.at(s_failureAt - s_second, [&fleet] {
            fleet.loseStore(20 * s_second);
            fleet.killAll(600 * s_ms);
        });
    });
}

// Guards against shares of the slack by a count that is older than the routers that joined.
BOOST_AUTO_TEST_CASE(joiningRoutersBringNoNewShare)
{
    checkLimit({.routers = 3, .requestsPerSecond = 30}, [](RetryFleet &fleet) {
        for (int joined = 0; joined < 20; ++joined) {
            fleet.at(s_failureAt + joined * 400 * s_ms, [&fleet] {
                fleet.add();
            });
        }
    });
}

// Guards against the slack of a router that the others have ceased to count while it was cut off from the store.
BOOST_AUTO_TEST_CASE(routersWhoseRowsHaveLapsed)
{
    checkLimit({.routers = 6, .requestsPerSecond = 20}, [](RetryFleet &fleet) {
        fleet.at(s_failureAt - 16 * s_second, [&fleet] {
            for (std::size_t router = 0; router < 5; ++router) {
                fleet.cut(router, 40 * s_second);
            }
        });
    });
}

// Guards against a share that grows as soon as a router has left, although its retries are still in the window.
BOOST_AUTO_TEST_CASE(routersThatLeaveInTurn)
{
    checkLimit({.routers = 6, .requestsPerSecond = 20}, [](RetryFleet &fleet) {
        for (std::size_t router = 0; router < 5; ++router) {
            fleet.at(s_failureAt + 1500 * s_ms + static_cast<int>(router) * s_second, [&fleet, router] {
                fleet.stop(router, 60 * s_second);
            });
        }
    });
}

// Guards against counts by a store that has lost the rows of routers that joined shortly before.
BOOST_AUTO_TEST_CASE(storeThatReturnsWithoutSomeRows)
{
    checkLimit({.routers = 2, .requestsPerSecond = 20}, [](RetryFleet &fleet) {
        fleet.at(s_failureAt - 24 * s_second, [&fleet] {
            for (int joined = 0; joined < 6; ++joined) {
                fleet.add();
            }
        });
        fleet.at(s_failureAt - 4 * s_second, [&fleet] {
            fleet.loseStore(3 * s_second);
        });
        fleet.at(s_failureAt - s_second, [&fleet] {
            fleet.returnStore(19 * s_second);
            fleet.kill(0, 100 * s_ms);
            fleet.kill(1, 100 * s_ms);
        });
    });
}

// Guards against windows of routers that are not aligned: callers move to another router, which has its own requests to retry by.
BOOST_AUTO_TEST_CASE(callersThatMoveFromRouterToRouter)
{
    checkLimit({.routers = 5, .requestsPerSecond = 150}, [](RetryFleet &fleet) {
        fleet.at(s_failureAt - 9500 * s_ms, [&fleet] {
            fleet.preferRouter(0);
            fleet.setDeclining(false);
        });
        fleet.at(s_failureAt - 1 * s_ms, [&fleet] {
            fleet.setDeclining(true);
        });
        fleet.at(s_failureAt + 500 * s_ms, [&fleet] {
            fleet.preferRouter(1);
        });
    });
}

// Guards against retries that are paid by requests of an earlier window, because callers' requests or retries are a second under way.
BOOST_AUTO_TEST_CASE(slowLinksMoveRetriesIntoAnotherWindow)
{
    // The requests of a burst are sent this long before targets decline; they no longer count for retries that arrive from `s_failureAt`
    // on, or for those that arrive after most of their time to be sent.
    for (const Duration before : {10'400 * s_ms, 9'500 * s_ms}) {
        checkLimit({.routers = 2, .requestsPerSecond = 5, .maxCallerDelay = s_second, .maxSendDelay = s_second},
                   [before](RetryFleet &fleet) {
                       fleet.at(s_failureAt - before - 500 * s_ms, [&fleet] {
                           fleet.setLoad(12'000);
                       });
                       fleet.at(s_failureAt - before, [&fleet] {
                           fleet.setLoad(5);
                       });
                       fleet.at(s_failureAt, [&fleet] {
                           fleet.setLoad(800);
                       });
                       fleet.at(s_failureAt + 200 * s_ms, [&fleet] {
                           fleet.setLoad(5);
                       });
                   });
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RetryFleetPropertyTest)

namespace {

constexpr std::uint64_t s_propertySeeds = 150;

class DrawnDay
{
public:
    explicit DrawnDay(std::uint64_t seed)
        : m_random(seed)
        , m_fleet({.routers = static_cast<std::size_t>(between(1, 14)),
                   .requestsPerSecond = between(5, 250),
                   .maxCallerDelay = chance(0.3) ? s_second : 50 * s_ms,
                   .maxSendDelay = chance(0.3) ? s_second : 50 * s_ms,
                   .maxStoreDelay = chance(0.3) ? 400 * s_ms : 10 * s_ms,
                   .seed = seed})
    {
        m_fleet.setDeclining(false);
        m_fleet.at(moment(), [this] {
            m_fleet.setDeclining(true);
        });
        const int events = static_cast<int>(between(1, 16));
        for (int event = 0; event < events; ++event) {
            m_fleet.at(moment(), [this] {
                disturb();
            });
        }
    }

    RetryWindow play()
    {
        m_fleet.run(s_length);
        return m_fleet.worstWindow();
    }

private:
    static constexpr Duration s_length = 75 * s_second;

    double between(double least, double most)
    {
        return std::uniform_real_distribution<double>(least, most)(m_random);
    }

    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(m_random);
    }

    /// Disturbances come within 25 seconds, so that they overlap.
    Duration moment()
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(between(30, 55)));
    }

    Duration drawnTime(double longest)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(between(0.1, longest)));
    }

    std::size_t router()
    {
        return std::uniform_int_distribution<std::size_t>(0, m_fleet.routers() - 1)(m_random);
    }

    void disturb()
    {
        switch (std::uniform_int_distribution<int>(0, 9)(m_random)) {
        case 0:
            m_fleet.killAll(drawnTime(3));
            break;
        case 1:
            for (std::size_t index = 0; index < m_fleet.routers(); ++index) {
                if (chance(0.6)) {
                    m_fleet.kill(index, drawnTime(3));
                }
            }
            break;
        case 2:
            m_fleet.stop(router(), drawnTime(6));
            break;
        case 3:
            for (int joined = 0; joined < 4; ++joined) {
                m_fleet.add();
            }
            break;
        case 4:
            m_fleet.cut(router(), drawnTime(25));
            break;
        case 5:
            m_fleet.loseStore(drawnTime(15));
            break;
        case 6:
            m_fleet.returnStore(drawnTime(15));
            break;
        case 7:
            m_fleet.setLoad(between(1, 400));
            break;
        case 8:
            m_fleet.preferRouter(router());
            break;
        default:
            m_fleet.preferRouter(std::nullopt);
            m_fleet.kill(router(), drawnTime(8));
            break;
        }
    }

    std::mt19937_64 m_random;
    RetryFleet m_fleet;
};

}

// Guards against more retries than the fleet may make in some window, whatever happens to its routers, callers and store.
BOOST_AUTO_TEST_CASE(neverAboveTheLimit)
{
    for (std::uint64_t seed = 1; seed <= s_propertySeeds; ++seed) {
        const RetryWindow worst = DrawnDay(seed).play();
        BOOST_TEST(worst.excess() <= 0,
                   "seed " << seed << ": " << worst.retries << " retries in the window from " << seconds(worst.from) << " s, "
                           << worst.requests << " requests, " << worst.allowed << " allowed");
    }
}

// Guards against a limit that is kept by hardly retrying: of what a fleet without disturbances may retry while targets decline, from the
// first window on, at least half is used.
BOOST_AUTO_TEST_CASE(halfOfTheLimitIsUsable)
{
    for (std::uint64_t seed = 1; seed <= s_propertySeeds; ++seed) {
        std::mt19937_64 random(seed);
        const std::size_t routers = std::uniform_int_distribution<std::size_t>(1, 20)(random);
        const double perRouter = std::uniform_real_distribution<double>(3, 40)(random);
        RetryFleet fleet({.routers = routers, .requestsPerSecond = perRouter * static_cast<double>(routers), .seed = seed});
        fleet.setDeclining(false);
        fleet.at(s_failureAt, [&fleet] {
            fleet.setDeclining(true);
        });
        fleet.run(s_failureAt + 5 * RetryFleet::s_window);
        for (int windows = 1; windows <= 4; ++windows) {
            const Duration until = s_failureAt + windows * RetryFleet::s_window;
            const double limit = RetryFleet::s_ratio * static_cast<double>(fleet.requestsBetween(s_failureAt, until))
                + static_cast<double>(windows * RetryFleet::s_slack);
            BOOST_TEST(2 * static_cast<double>(fleet.retriesBetween(s_failureAt, until)) >= limit,
                       "seed " << seed << ", " << windows << " windows: " << fleet.retriesBetween(s_failureAt, until) << " of " << limit);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
