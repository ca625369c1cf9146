#include "budget/keepers.h"
#include "budget/teamholding.h"
#include "store/memoryrows.h"

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
constexpr Duration s_checkpointInterval = std::chrono::milliseconds(250);
constexpr Duration s_idleCheckpointInterval = std::chrono::seconds(3);

struct Counts {
    std::uint64_t reads = 0;
    std::uint64_t flushes = 0;
    std::uint64_t checkpoints = 0;
    std::uint64_t loans = 0;
    std::uint64_t bytes = 0;
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
};

/// One router: its checkpoint and the budgets that it keeps. What the others borrow is taken from it at once, without a link between.
struct Router {
    Router(std::string holder, Instant now)
        : name(std::move(holder))
        , checkpoint({.holder = name, .incarnation = name + "~1", .startedAt = now})
    {
    }

    std::string name;
    HolderCheckpoint checkpoint;
    /// By budget.
    std::unordered_map<int, std::unique_ptr<TeamHolding>> holdings;
    std::optional<Instant> lastCheckpoint;
    bool urgent = false;
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
            m_routers.push_back(std::make_unique<Router>(names.back(), m_now));
            m_index[names.back()] = router;
        }
        const double perBudget = FLAGS_requests_per_router * FLAGS_routers / FLAGS_budgets;
        m_prepaid = static_cast<Tokens>(perBudget * s_budgetSeconds * s_used) + 2 * s_bound;
        for (int budget = 0; budget < FLAGS_budgets; ++budget) {
            const std::vector<std::string> keepers = FLAGS_all_keep ? names : keepersOf(teamName(budget), m_prepaid, s_bound, names);
            m_keepers.emplace_back();
            for (const std::string &keeper : keepers) {
                m_keepers.back().push_back(m_index[keeper]);
                open(m_index[keeper], budget, keepers.size());
            }
        }
    }

    void run()
    {
        const auto length = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(FLAGS_seconds));
        play(length);
        m_counts = {};
        play(length);
        print();
    }

private:
    static std::string teamName(int budget)
    {
        return "team-" + std::to_string(budget);
    }

    void open(int router, int budget, std::size_t keepers)
    {
        Router &at = *m_routers[router];
        auto holding = std::make_unique<TeamHolding>(
            TeamHolding::Options{.team = teamName(budget), .holder = at.name, .incarnation = at.name + "~1"}, at.checkpoint);
        holding->setPrepaid({.prepaid = m_prepaid, .planVersion = 1});
        holding->setKeeps(true, keepers);
        holding->servingSince(m_now);
        at.holdings[budget] = std::move(holding);
    }

    void play(Duration length)
    {
        const Instant end = m_now + length;
        double due = 0;
        while (m_now < end) {
            m_now += s_tick;
            m_storeNow += s_tick / std::chrono::milliseconds(1);
            due += FLAGS_requests_per_router * FLAGS_routers * seconds(s_tick);
            for (; due >= 1; due -= 1) {
                request();
            }
            settleDue();
            for (const auto &router : m_routers) {
                keep(*router);
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
            Router &at = *m_routers[lender];
            TeamHolding &holding = *at.holdings[budget];
            holding.noteRequest(s_bound, m_now);
            if (const std::optional<Reservation> made = reserve(at, holding)) {
                m_running.push_back({.end = m_now + s_requestTime, .lender = lender, .budget = budget, .reservation = *made});
                return;
            }
        }
        ++m_counts.refused;
    }

    /// Reserves at once, or after a checkpoint written ahead.
    std::optional<Reservation> reserve(Router &router, TeamHolding &holding)
    {
        for (const bool written : {false, true}) {
            const auto result = holding.reserve(s_bound, m_now);
            if (const auto *made = std::get_if<Reservation>(&result)) {
                return *made;
            }
            if (written || std::get<HoldingRefusal>(result) != HoldingRefusal::Paced) {
                break;
            }
            holding.addWaiting(s_bound);
            writeCheckpoint(router);
            holding.removeWaiting(s_bound);
        }
        return std::nullopt;
    }

    void settleDue()
    {
        const auto over = std::partition(m_running.begin(), m_running.end(), [this](const Running &running) {
            return running.end > m_now;
        });
        for (auto running = over; running != m_running.end(); ++running) {
            m_routers[running->lender]->holdings[running->budget]->settle(running->reservation, s_used, m_now);
        }
        m_running.erase(over, m_running.end());
    }

    void keep(Router &router)
    {
        for (const auto &[budget, holding] : router.holdings) {
            if (holding->wantsRead(m_now)) {
                const RowsRead rows = m_store.read(s_budgetTable, teamName(budget), m_storeNow);
                ++m_counts.reads;
                for (const StoredRow &row : rows.rows) {
                    m_counts.bytes += s_rowOverhead + row.value.size() * 4 / 3;
                }
                holding->loaded(rows, m_now);
            }
            const std::optional<Instant> due = holding->nextFlush(m_routers.size(), m_now);
            if (due && *due <= m_now) {
                flush(*holding);
            }
        }
        const bool holds = std::ranges::any_of(router.holdings, [](const auto &entry) {
            return entry.second->unused() > 0;
        });
        const Duration interval = holds ? s_checkpointInterval : s_idleCheckpointInterval;
        if (!router.lastCheckpoint || m_now - *router.lastCheckpoint >= interval) {
            writeCheckpoint(router);
        }
    }

    void flush(TeamHolding &holding)
    {
        const std::optional<RowTransaction> transaction = holding.planFlush(m_routers.size(), m_now);
        if (!transaction) {
            return;
        }
        ++m_counts.flushes;
        addBytes(*transaction);
        holding.flushAnswered(*m_store.transact(*transaction, m_storeNow), m_now);
    }

    void writeCheckpoint(Router &router)
    {
        if (router.checkpoint.wantsRead()) {
            router.checkpoint.loaded(m_store.read(s_checkpointTable, router.name, m_storeNow));
        }
        router.lastCheckpoint = m_now;
        HolderCheckpoint::Commitments commitments;
        for (const auto &[budget, holding] : router.holdings) {
            if (const std::optional<Commitment> commitment = holding->commitment(m_now)) {
                commitments.emplace(teamName(budget), *commitment);
            }
        }
        const std::optional<RowTransaction> transaction = router.checkpoint.plan(commitments, m_now);
        if (transaction) {
            ++m_counts.checkpoints;
            addBytes(*transaction);
            router.checkpoint.answered(*m_store.transact(*transaction, m_storeNow), m_now);
        }
    }

    void addBytes(const RowTransaction &transaction)
    {
        m_counts.bytes += s_rowOverhead * transaction.conditions.size();
        for (const RowChange &change : transaction.changes) {
            m_counts.bytes += s_rowOverhead + (change.value ? change.value->size() * 4 / 3 : 0);
        }
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
            {"calls_a_router_and_second", rate(m_counts.reads + m_counts.flushes + m_counts.checkpoints)},
            {"reads", rate(m_counts.reads)},
            {"flushes", rate(m_counts.flushes)},
            {"checkpoints", rate(m_counts.checkpoints)},
            {"loans", rate(m_counts.loans)},
            {"bytes_a_router_and_second", rate(m_counts.bytes)},
            {"refused_share", static_cast<double>(m_counts.refused) / static_cast<double>(std::max<std::uint64_t>(1, m_counts.requests))}})
                  << "\n";
    }

    /// Names, versions and punctuation of a row in a call, in bytes: a table, a part, a key of an address.
    static constexpr std::uint64_t s_rowOverhead = 90;

    Instant m_now = Instant(std::chrono::seconds(100));
    StoreTimeMs m_storeNow = 1000;
    MemoryRows m_store;
    std::vector<std::unique_ptr<Router>> m_routers;
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
