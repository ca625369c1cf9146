#include "gateway/loadshedder.h"
#include "overload/connectiongate.h"
#include "overload/hostload.h"
#include "overload/rotation.h"
#include "routing/stablehash.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <iterator>
#include <vector>

using namespace bamboohold;

namespace {

constexpr Duration s_step = std::chrono::milliseconds(1);
constexpr Duration s_objective = std::chrono::milliseconds(1500);
/// A refusal costs a host this part of the processor time of an answer.
constexpr double s_refusalCost = 0.04;
constexpr std::size_t s_ranks = 2;
constexpr std::size_t s_otherHostInterval = 5;

/// While a load balancer prefers one host, callers must be served nearly as before from this time on.
constexpr Duration s_preferenceKnown = std::chrono::seconds(3);
constexpr double s_leastServed = 0.75;

/// What callers saw.
struct Outcome {
    Instant arrived{};
    Instant ended{};
    std::size_t rank = 0;
    std::size_t host = 0;
    bool answered = false;
    std::size_t caller = 0;
};

/// An entry host that answers a fixed number of requests a second, with the decision objects of its router.
struct Host {
    Host(std::size_t number, double answersPerSecond)
        : rotation(Rotation::Options{.self = absl::StrCat("router-", number),
                                     .capacity = answersPerSecond,
                                     .firstPeriod = std::chrono::seconds(8),
                                     .maxPeriod = std::chrono::seconds(30)})
        , answersPerSecond(answersPerSecond)
    {
    }

    /// Reads the requests that its processor has time for in one step.
    void work(Instant now, std::vector<Outcome> &outcomes)
    {
        credit += answersPerSecond * seconds(s_step);
        if (waiting.empty()) {
            credit = std::min(credit, 0.0);
        }
        while (!waiting.empty() && credit > 0) {
            Outcome outcome = waiting.front();
            waiting.pop_front();
            const bool refused = load.refusesAsFull(s_objective, now)
                || shedder.shouldRefuse(++requests, "service", {.rank = outcome.rank, .ranks = s_ranks}, now);
            credit -= refused ? refusalCost : 1;
            outcome.answered = !refused;
            answered += refused ? 0 : 1;
            outcome.ended = now;
            outcomes.push_back(outcome);
        }
    }

    /// The event loop handles what is ready before a timer that is due.
    Duration delay(Instant now) const
    {
        return waiting.empty() ? Duration::zero() : now - waiting.front().arrived;
    }

    Rotation::Update measure(Instant now)
    {
        load.record({.delay = delay(now)}, now);
        shedder.recordPressure(load.requestPressure(), now);
        connectionLimit =
            gate.update({.served = answered, .refusedShare = shedder.refusedShare(), .pressure = load.requestPressure()}, now);
        return rotation.update(load.pressure(), now);
    }

    HostLoad load;
    LoadShedder shedder;
    ConnectionGate gate;
    std::optional<std::size_t> connectionLimit;
    std::uint64_t answered = 0;
    Rotation rotation;
    double answersPerSecond = 0;
    double refusalCost = s_refusalCost;
    std::deque<Outcome> waiting;
    double credit = 0;
    std::uint64_t requests = 0;
    int failedChecks = 0;
    bool inRotation = true;
};

/// A failure domain behind a load balancer that checks its hosts once a second, takes one out after two failed checks, uses all hosts once
/// fewer than half are in, and sends the connections of one caller to one host.
struct Domain {
    explicit Domain(const std::vector<double> &answersPerSecond)
    {
        for (const double speed : answersPerSecond) {
            hosts.emplace_back(hosts.size(), speed);
        }
        for (std::size_t index = 0; index < hosts.size(); ++index) {
            tell(index);
        }
    }

    void tell(std::size_t from)
    {
        for (std::size_t index = 0; index < hosts.size(); ++index) {
            if (index != from) {
                hosts[index].rotation.recordNotice(absl::StrCat("router-", from),
                                                   {.out = hosts[from].rotation.out(),
                                                    .remaining = hosts[from].rotation.remaining(now),
                                                    .capacity = hosts[from].rotation.capacity(),
                                                    .full = hosts[from].rotation.full()},
                                                   now);
            }
        }
    }

    void check()
    {
        for (Host &host : hosts) {
            host.failedChecks = host.rotation.out() ? host.failedChecks + 1 : 0;
            host.inRotation = host.failedChecks < 2;
        }
    }

    /// The host that the balancer sends the connections of this caller to.
    Host &hostFor(std::size_t caller)
    {
        std::vector<Host *> used;
        for (Host &host : hosts) {
            if (host.inRotation) {
                used.push_back(&host);
            }
        }
        if (2 * used.size() < hosts.size()) {
            used.clear();
            std::ranges::transform(hosts, std::back_inserter(used), [](Host &host) {
                return &host;
            });
        }
        // While the balancer prefers one of the hosts that are in, that one gets all callers but each fifth.
        const bool preferred = prefersOneHost && caller % s_otherHostInterval != 0;
        return *used[preferred ? preferredHost % used.size() : caller % used.size()];
    }

    /// Callers send these many requests a second each, a third of them urgent.
    void run(Duration time, const std::vector<double> &requestsPerSecond)
    {
        std::vector<double> due(requestsPerSecond.size());
        for (std::size_t caller = 0; spreadsCallers && caller < due.size(); ++caller) {
            due[caller] = static_cast<double>(caller) / static_cast<double>(due.size());
        }
        for (const Instant end = now + time; now < end; now += s_step) {
            const auto elapsed = now - Instant{};
            if (elapsed % std::chrono::seconds(1) == Duration::zero()) {
                check();
            }
            for (std::size_t caller = 0; caller < due.size(); ++caller) {
                for (due[caller] += requestsPerSecond[caller] * seconds(s_step); due[caller] >= 1; due[caller] -= 1) {
                    Host &host = hostFor(caller);
                    const std::size_t rank = ++sent % 3 == 0 ? 0 : 1;
                    if (connectsForEachRequest && host.connectionLimit == std::size_t(0)) {
                        outcomes.push_back({.arrived = now, .ended = now, .rank = rank, .caller = caller});
                        continue;
                    }
                    if (host.connectionLimit) {
                        --*host.connectionLimit;
                    }
                    host.waiting.push_back(
                        {.arrived = now, .rank = rank, .host = static_cast<std::size_t>(&host - hosts.data()), .caller = caller});
                }
            }
            for (Host &host : hosts) {
                host.work(now, outcomes);
            }
            if (elapsed % HostLoad::s_measurementInterval == Duration::zero()) {
                for (std::size_t index = 0; index < hosts.size(); ++index) {
                    const Rotation::Update update = hosts[index].measure(now);
                    lefts += update.change == Rotation::Change::Left ? 1 : 0;
                    if (update.notify) {
                        tell(index);
                    }
                }
                mostOut = std::max(mostOut, out());
            }
        }
    }

    /// Share of the requests that arrived in this span, in time since `begun`, and were answered within the objective.
    double servedShare(Instant begun, Duration from, Duration to) const
    {
        const auto arrivedThen = [&](const Outcome &outcome) {
            return outcome.arrived - begun >= from && outcome.arrived - begun < to;
        };
        const auto arrived = std::ranges::count_if(outcomes, arrivedThen);
        const auto served = std::ranges::count_if(outcomes, [&](const Outcome &outcome) {
            return arrivedThen(outcome) && outcome.answered && outcome.ended - outcome.arrived <= s_objective;
        });
        return arrived == 0 ? 1 : static_cast<double>(served) / static_cast<double>(arrived);
    }

    std::size_t out() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(hosts, [](const Host &host) {
            return host.rotation.out();
        }));
    }

    std::vector<Host> hosts;
    /// Whether callers of the same rate send their requests at different times.
    bool spreadsCallers = false;
    /// Whether the system may refuse a request's connection.
    bool connectsForEachRequest = false;
    bool prefersOneHost = false;
    std::size_t preferredHost = 2;
    std::vector<Outcome> outcomes;
    std::uint64_t sent = 0;
    int lefts = 0;
    /// The most hosts that were out at the same time.
    std::size_t mostOut = 0;
    Instant now{std::chrono::seconds(100)};
};

double share(const std::vector<Outcome> &outcomes, const auto &counted, const auto &good)
{
    const auto all = std::ranges::count_if(outcomes, counted);
    const auto met = std::ranges::count_if(outcomes, [&](const Outcome &outcome) {
        return counted(outcome) && std::invoke(good, outcome);
    });
    return all == 0 ? 1 : static_cast<double>(met) / static_cast<double>(all);
}

}

BOOST_AUTO_TEST_SUITE(EntryHostTest)

// One caller sends 570 requests a second to a host that answers 120, with hosts beside it. Guards against callers that wait for seconds at
// that host, urgent ones as long as others, while the hosts beside it are idle: 0.29 of their requests were answered within the objective.
BOOST_AUTO_TEST_CASE(callersOfAFullHostAreRefusedAtOnceAndMoved)
{
    Domain domain({120, 600, 600, 600, 600, 600});
    const Instant begun = domain.now;
    domain.run(std::chrono::seconds(7), {570});
    const auto atFullHost = [&](const Outcome &outcome) {
        return outcome.host == 0 && outcome.arrived - begun >= std::chrono::milliseconds(400);
    };
    const double prompt = share(domain.outcomes, atFullHost, [](const Outcome &outcome) {
        return outcome.ended - outcome.arrived <= s_objective / 10;
    });
    const auto answered = [&](std::size_t rank) {
        return share(
            domain.outcomes,
            [&](const Outcome &outcome) {
                return atFullHost(outcome) && outcome.rank == rank;
            },
            &Outcome::answered);
    };
    BOOST_TEST_MESSAGE("within a tenth of the objective: " << prompt << ", urgent answered " << answered(0) << ", others " << answered(1));
    BOOST_TEST(prompt >= 0.9);
    BOOST_TEST(answered(0) > 2 * answered(1));
    const double moved = share(
        domain.outcomes,
        [&](const Outcome &outcome) {
            return outcome.arrived - begun >= std::chrono::seconds(3);
        },
        [](const Outcome &outcome) {
            return outcome.host != 0 && outcome.answered;
        });
    BOOST_TEST(moved >= 0.99);
}

// Guards against a domain whose hosts all leave because all are full, and against hosts that come and go.
BOOST_AUTO_TEST_CASE(fullDomainStaysInRotation)
{
    Domain domain({120, 120, 120, 120, 120, 120});
    domain.run(std::chrono::seconds(20), {570, 570, 570, 570, 570, 570});
    BOOST_TEST(domain.mostOut == 2U);
    BOOST_TEST(domain.lefts <= 8);
    domain.run(std::chrono::seconds(40), {10, 10, 10, 10, 10, 10});
    BOOST_TEST(domain.out() == 0U);
}

// A caller that overloads a small host moves to a large one. When the small host is back, another caller with a load that it can serve must
// not make it leave again.
BOOST_AUTO_TEST_CASE(returningHostDoesNotFlap)
{
    Domain domain({120, 600, 600});
    domain.run(std::chrono::seconds(5), {570});
    BOOST_TEST(domain.out() == 1U);
    domain.run(std::chrono::seconds(55), {60});
    BOOST_TEST(domain.lefts == 1);
    BOOST_TEST(domain.out() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TenfoldLoadTest)

// Guards against a host that is busy with refusing: ten times as many requests arrive as it can answer, and each refusal after the head was
// read costs a fifth of an answer.
BOOST_AUTO_TEST_CASE(aHostAnswersAtTenTimesItsLoad)
{
    constexpr double answersPerSecond = 120;
    for (const double factor : {2.0, 5.0, 10.0}) {
        Domain domain({answersPerSecond});
        domain.hosts.front().refusalCost = 0.2;
        domain.connectsForEachRequest = true;
        const Instant begun = domain.now;
        constexpr Duration time = std::chrono::seconds(20);
        domain.run(time, {factor * answersPerSecond});
        const double served = domain.servedShare(begun, std::chrono::seconds(2), time) * static_cast<double>(domain.outcomes.size());
        const double answerable = answersPerSecond * seconds(time);
        BOOST_TEST_MESSAGE("load " << factor << ": answers " << served / answerable << " of what the host can");
        // Half of what it can do, or all that is asked if that is less.
        BOOST_TEST(served >= 0.5 * answerable, "load " << factor << ": " << served << " of " << answerable);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(HotCallerTest)

// Guards against a team that is served less than a quarter as often as all, because a few of its callers send most of a failure domain's
// requests and come in at hosts that are too small for them. Targets have time for all of them.
BOOST_AUTO_TEST_CASE(callersWithMostRequestsAreNotStarvedAtSmallHosts)
{
    constexpr double leastRatio = 0.25;
    constexpr std::size_t callers = 52;
    const std::vector<double> hosts{600, 600, 110, 110, 110, 110, 110};
    for (const double hotRate : {200.0, 340.0, 700.0, 1100.0}) {
        for (std::size_t hotCaller = 2; hotCaller < hosts.size(); ++hotCaller) {
            for (const std::size_t hotCallers : {1U, 2U}) {
                Domain domain(hosts);
                domain.connectsForEachRequest = true;
                domain.spreadsCallers = true;
                for (Host &host : domain.hosts) {
                    host.refusalCost = 0.2;
                }
                std::vector<double> requests(callers, 4);
                for (std::size_t index = 0; index < hotCallers; ++index) {
                    requests[hotCaller + index * hosts.size()] = hotRate / static_cast<double>(hotCallers);
                }
                domain.run(std::chrono::seconds(34), requests);
                const auto isHot = [&](const Outcome &outcome) {
                    return requests[outcome.caller] > requests[0];
                };
                const auto isServed = [](const Outcome &outcome) {
                    return outcome.answered && outcome.ended - outcome.arrived <= s_objective;
                };
                const double hot = share(domain.outcomes, isHot, isServed);
                const double all = share(
                    domain.outcomes,
                    [](const Outcome &) {
                        return true;
                    },
                    isServed);
                BOOST_TEST_MESSAGE(hotCallers << " hot callers, " << hotRate << " requests a second, the first at host " << hotCaller
                                              << ": served " << hot << ", all " << all);
                BOOST_TEST(hot >= leastRatio * all, "host " << hotCaller << ", " << hotRate << " a second: " << hot << " of " << all);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(PreferredHostTest)

// Guards against callers that are refused while a load balancer hands most new connections to one host of those that are in, for some
// seconds, and the other hosts have time to spare. The hosts are loaded to these parts of what they can answer before.
BOOST_AUTO_TEST_CASE(callersAreServedWhileOneHostGetsMostConnections)
{
    constexpr std::size_t callers = 100;
    constexpr std::size_t hosts = 5;
    constexpr double answersPerSecond = 120;
    constexpr Duration time = std::chrono::seconds(12);
    for (const double load : {0.15, 0.3, 0.5}) {
        Domain domain(std::vector<double>(hosts, answersPerSecond));
        domain.spreadsCallers = true;
        const std::vector<double> requests(callers, load * answersPerSecond * hosts / callers);
        const Instant begun = domain.now;
        domain.run(time, requests);
        domain.prefersOneHost = true;
        domain.run(time, requests);
        const double before = domain.servedShare(begun, Duration::zero(), time);
        const double during = domain.servedShare(begun, time + s_preferenceKnown, 2 * time);
        BOOST_TEST_MESSAGE("load " << load << ": served " << before << " before, " << during << " while one host is preferred");
        BOOST_TEST(during >= s_leastServed * before, "load " << load << ": served " << before << " before, " << during << " then");
    }
}

BOOST_AUTO_TEST_SUITE_END()
