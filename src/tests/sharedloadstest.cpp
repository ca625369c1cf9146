#include "gateway/targetbalancer.h"
#include "routing/loadaggregator.h"
#include "routing/stablehash.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace bamboohold;

namespace {

constexpr std::size_t s_routers = 103;
constexpr std::size_t s_targets = 180;
constexpr std::size_t s_domains = 6;
constexpr double s_requestsPerSecond = 970;
constexpr double s_tokensPerMs = 38.4;
constexpr std::size_t s_candidatesQueried = 3;

/// Results of a simulated run.
struct Outcome {
    double p95FirstByteMs = 0;
    /// Requests at the target that got the most, as a multiple of the mean.
    double busiest = 0;
};

/// Simulates a hundred routers and targets that process one prompt at a time. The lengths of prompts are distributed like those of three
/// kinds of requests together: most are short, some thirty times as long. The targets are loaded to half of their capacity.
class Fleet
{
public:
    explicit Fleet(bool shared)
        : m_shared(shared)
        , m_readUntil(s_targets)
        , m_books(s_targets)
        , m_sent(s_targets)
    {
        std::vector<TargetListing> listings;
        for (std::size_t target = 0; target < s_targets; ++target) {
            const std::string name = targetName(target);
            m_targets[name] = target;
            listings.push_back({.incarnation = name,
                                .service = "llm",
                                .address = "10.0.0.1:80",
                                .failureDomain = domainName(target),
                                .relay = "10.0.0.1:81",
                                .slots = 32});
        }
        for (std::size_t router = 0; router < s_routers; ++router) {
            m_balancers.push_back(std::make_unique<TargetBalancer>(TargetBalancer::Options{.failureDomain = domainName(router)}));
            m_balancers.back()->replaceAll(listings, m_now);
        }
    }

    Outcome simulate(Duration time)
    {
        std::mt19937_64 random(20261203);
        std::exponential_distribution<double> gap(s_requestsPerSecond);
        std::lognormal_distribution<double> tokens(7.4, 1.0);
        const Instant end = m_now + time;
        while (m_now < end) {
            m_now += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
            finishDue();
            const auto bound = static_cast<Tokens>(std::min(18000.0, tokens(random)));
            send(random() % s_routers, bound, random());
        }
        std::ranges::sort(m_firstByteMs);
        const double mean = static_cast<double>(m_firstByteMs.size()) / s_targets;
        return {.p95FirstByteMs = m_firstByteMs[m_firstByteMs.size() * 95 / 100],
                .busiest = static_cast<double>(*std::ranges::max_element(m_sent)) / mean};
    }

private:
    /// The time at which the first byte, or the end, of a request is due.
    struct Event {
        Instant at{};
        std::size_t router = 0;
        std::string target;
        Tokens unread = 0;
        Instant sentAt{};
        bool ends = false;

        bool operator>(const Event &other) const
        {
            return at > other.at;
        }
    };

    static std::string targetName(std::size_t target)
    {
        return "target-" + std::to_string(target);
    }

    static std::string domainName(std::size_t index)
    {
        return "domain-" + std::to_string(index % s_domains);
    }

    /// Reports the router's load at the target to the relay and returns the load of the other routers.
    TargetLoad report(std::size_t router, const std::string &target)
    {
        const TargetLoad own = m_balancers[router]->ownLoad(target)->load;
        return m_books[m_targets[target]].update({.router = router, .target = stableHash(target), .sequence = ++m_sequence, .load = own},
                                                 m_now);
    }

    void send(std::size_t router, Tokens tokens, std::uint64_t draw)
    {
        TargetBalancer &balancer = *m_balancers[router];
        const std::vector<PromptPart> prompt{{.id = draw, .tokens = tokens}};
        PlacementRequest request{.service = "llm", .prompt = prompt, .seed = draw};
        const std::vector<std::string> candidates = balancer.candidates(request, s_candidatesQueried, m_now);
        if (m_shared) {
            for (const std::string &candidate : candidates) {
                balancer.setRemoteLoad(candidate, report(router, candidate), m_now);
            }
        }
        request.shortlist = candidates;
        const Placement placement = *balancer.choose(request, m_now);
        balancer.requestSent(placement.incarnation, prompt, placement.uncachedTokens, m_now);
        report(router, placement.incarnation);
        const std::size_t target = m_targets[placement.incarnation];
        ++m_sent[target];
        const auto reading = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(static_cast<double>(placement.uncachedTokens) / s_tokensPerMs));
        m_readUntil[target] = std::max(m_readUntil[target], m_now) + reading;
        m_firstByteMs.push_back(seconds(m_readUntil[target] - m_now) * 1000);
        m_events.push({.at = m_readUntil[target],
                       .router = router,
                       .target = placement.incarnation,
                       .unread = placement.uncachedTokens,
                       .sentAt = m_now});
    }

    void finishDue()
    {
        while (!m_events.empty() && m_events.top().at <= m_now) {
            Event event = m_events.top();
            m_events.pop();
            TargetBalancer &balancer = *m_balancers[event.router];
            if (event.ends) {
                balancer.attemptEnded(event.target, HealthSignal::Success, event.at);
            } else {
                balancer.firstByteReceived(event.target, event.unread, event.sentAt);
                event.ends = true;
                event.at += std::chrono::milliseconds(400);
                m_events.push(event);
            }
            report(event.router, event.target);
        }
    }

    bool m_shared;
    Instant m_now = Instant(std::chrono::seconds(100));
    std::vector<std::unique_ptr<TargetBalancer>> m_balancers;
    std::map<std::string, std::size_t> m_targets;
    std::vector<Instant> m_readUntil;
    std::vector<LoadAggregator> m_books;
    std::vector<std::size_t> m_sent;
    std::vector<double> m_firstByteMs;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_sequence = 0;
};

}

BOOST_AUTO_TEST_SUITE(SharedLoadsTest)

// Guards against routers that all choose the same target. Each of 103 routers sees one in a hundred of the requests to 180 targets. If each
// takes the first target that looks idle to it, callers wait behind each other's long prompts while other targets are idle.
BOOST_AUTO_TEST_CASE(routersDoNotAllChooseTheSameTarget)
{
    const Duration time = std::chrono::seconds(10);
    const Outcome alone = Fleet(false).simulate(time);
    const Outcome shared = Fleet(true).simulate(time);
    BOOST_TEST_MESSAGE("alone: 95th percentile " << alone.p95FirstByteMs << " ms, busiest " << alone.busiest);
    BOOST_TEST_MESSAGE("shared: 95th percentile " << shared.p95FirstByteMs << " ms, busiest " << shared.busiest);
    BOOST_TEST(shared.p95FirstByteMs < 0.7 * alone.p95FirstByteMs);
    BOOST_TEST(shared.busiest < 1.6);
}

BOOST_AUTO_TEST_SUITE_END()
