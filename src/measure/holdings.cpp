#include "budget/assignedholders.h"
#include "measure/bookrouter.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

DEFINE_int32(routers, 103, "routers of the fleet");
DEFINE_int32(budgets, 40, "prepaid budgets, all of one size");
DEFINE_double(requests_per_router, 9.4, "requests a router and second, drawn evenly over routers and budgets");
DEFINE_double(seconds, 10, "simulated time that is counted, after as long a start");
DEFINE_bool(all_keep, false, "every router keeps a part of every budget, as a comparison");

namespace {

using namespace bamboohold;

constexpr Duration s_tick = std::chrono::milliseconds(50);
/// A request's worst case, and what it uses in the end: output limits are far above what is generated.
constexpr Tokens s_bound = 6000;
constexpr Tokens s_used = 2400;
constexpr double s_budgetSeconds = 60;
constexpr Duration s_requestTime = std::chrono::milliseconds(800);

struct Counts {
    std::uint64_t loans = 0;
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
};

struct Running {
    Instant end{};
    int lender = 0;
    int budget = 0;
    Reservation reservation;
};

/// A calm fleet before a store that answers at once: what the books cost it in calls and bytes.
class Fleet
{
public:
    Fleet()
    {
        std::vector<std::string> names;
        for (int router = 0; router < FLAGS_routers; ++router) {
            names.push_back("10.0." + std::to_string(router / 250) + "." + std::to_string(router % 250) + ":7340");
            m_routers.push_back(std::make_unique<BookRouter>(names.back(), names.back() + "~1", m_store));
            m_index[names.back()] = router;
        }
        const double perBudget = FLAGS_requests_per_router * FLAGS_routers / FLAGS_budgets;
        m_prepaid = static_cast<Tokens>(perBudget * s_budgetSeconds * s_used) + 2 * s_bound;
        for (int budget = 0; budget < FLAGS_budgets; ++budget) {
            const std::vector<std::string> keepers =
                FLAGS_all_keep ? names : assignedHolders(BookRouter::teamName(budget), m_prepaid, s_bound, names);
            m_keepers.emplace_back();
            for (const std::string &keeper : keepers) {
                m_keepers.back().push_back(m_index[keeper]);
                m_routers[m_index[keeper]]->open(budget, {.prepaid = m_prepaid, .planVersion = 1}, true, keepers.size());
            }
        }
    }

    void run()
    {
        const auto length = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(FLAGS_seconds));
        play(length);
        m_counts = {};
        m_store.use = {};
        play(length);
        print();
    }

private:
    void play(Duration length)
    {
        const Instant end = m_store.now + length;
        double due = 0;
        while (m_store.now < end) {
            m_store.pass(s_tick);
            due += FLAGS_requests_per_router * FLAGS_routers * seconds(s_tick);
            for (; due >= 1; due -= 1) {
                request();
            }
            settleDue();
            for (const auto &router : m_routers) {
                router->keep(m_routers.size());
            }
        }
    }

    void request()
    {
        ++m_counts.requests;
        const int router = std::uniform_int_distribution<int>(0, FLAGS_routers - 1)(m_random);
        const int budget = std::uniform_int_distribution<int>(0, FLAGS_budgets - 1)(m_random);
        std::vector<int> order = m_keepers[budget];
        const auto own = std::ranges::find(order, router);
        if (own != order.end()) {
            std::iter_swap(order.begin(), own);
        } else {
            std::rotate(order.begin(), order.begin() + router % static_cast<int>(order.size()), order.end());
            ++m_counts.loans;
        }
        for (const int lender : order) {
            BookRouter &at = *m_routers[lender];
            at.holding(budget).recordDemand(s_bound, m_store.now);
            if (const std::optional<Reservation> made = at.reserve(budget, s_bound)) {
                m_running.push_back({.end = m_store.now + s_requestTime, .lender = lender, .budget = budget, .reservation = *made});
                return;
            }
        }
        ++m_counts.refused;
    }

    void settleDue()
    {
        const auto over = std::partition(m_running.begin(), m_running.end(), [this](const Running &running) {
            return running.end > m_store.now;
        });
        for (auto running = over; running != m_running.end(); ++running) {
            m_routers[running->lender]->holding(running->budget).settle(running->reservation, s_used, m_store.now);
        }
        m_running.erase(over, m_running.end());
    }

    void print() const
    {
        const double routerSeconds = FLAGS_routers * FLAGS_seconds;
        const auto rate = [routerSeconds](std::uint64_t count) {
            return static_cast<double>(count) / routerSeconds;
        };
        std::cout << boost::json::serialize(boost::json::object{
            {"measure", "holdings"},
            {"routers", FLAGS_routers},
            {"budgets", FLAGS_budgets},
            {"all_keep", FLAGS_all_keep},
            {"calls_a_router_and_second", rate(m_store.use.reads + m_store.use.flushes + m_store.use.checkpoints)},
            {"reads", rate(m_store.use.reads)},
            {"flushes", rate(m_store.use.flushes)},
            {"checkpoints", rate(m_store.use.checkpoints)},
            {"loans", rate(m_counts.loans)},
            {"bytes_a_router_and_second", rate(m_store.use.bytes)},
            {"refused_share", static_cast<double>(m_counts.refused) / static_cast<double>(std::max<std::uint64_t>(1, m_counts.requests))}})
                  << "\n";
    }

    SimulatedStore m_store;
    std::vector<std::unique_ptr<BookRouter>> m_routers;
    std::map<std::string, int> m_index;
    /// By budget.
    std::vector<std::vector<int>> m_keepers;
    std::vector<Running> m_running;
    Tokens m_prepaid = 0;
    std::mt19937_64 m_random{20261203};
    Counts m_counts;
};

}

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("counts what budgets cost a calm fleet in calls to the store, on the decision objects");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Fleet().run();
    return 0;
}
