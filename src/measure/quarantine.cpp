#include "tests/poisonfleet.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>
#include <tbb/parallel_for.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <random>
#include <span>
#include <vector>

DEFINE_uint64(days, 12'000, "days to draw");
DEFINE_uint64(seed, 1, "of the draws");
DEFINE_bool(ordinary, false, "draw the days of the property test, not the extreme ones");
DEFINE_bool(separate_streams, false, "days that stay the same when the decisions change");
DEFINE_bool(parts, false, "draw days on which requests that share a part crash targets, instead of copies of one request");
DEFINE_bool(list, false, "print each day that breaks a bound");

namespace {

using namespace bamboohold;
using Millis = PoisonDay::Millis;

/// The bounds of the property test.
constexpr int s_mostLate = 3;
constexpr Millis s_longestRefusal = 12'000;
/// Of sound requests that share something with poisonous ones.
constexpr double s_leastServed = 0.5;

struct Outcome {
    int lateCopies = 0;
    int crashed = 0;
    Millis longestRefused = 0;
    double servedShare = 1;
};

class DayDrawer
{
public:
    explicit DayDrawer(std::uint64_t seed)
        : m_random(seed)
    {
    }

    PoisonDay extreme()
    {
        return {.seed = static_cast<unsigned>(between(0, 999'999)),
                .routers = static_cast<int>(between(2, 9)),
                .targets = static_cast<int>(between(4, 7)),
                .copyGap = between(100, 699),
                .otherCrashGap = oneOf(std::array<Millis, 2>{2000, 8000}),
                .lostNotices = oneOf(std::array<unsigned, 3>{0, 5, 20}),
                .impatient = oneOf(std::array<unsigned, 3>{0, 30, 70}),
                .routerDeathGap = oneOf(std::array<Millis, 2>{4000, 15'000}),
                .lingering = oneOf(std::array<Millis, 2>{300, 1000}),
                .separateStreams = FLAGS_separate_streams};
    }

    PoisonDay ordinary()
    {
        return {.seed = static_cast<unsigned>(between(0, 999'999)),
                .routers = static_cast<int>(between(3, 20)),
                .targets = static_cast<int>(between(6, 40)),
                .copyGap = between(100, 1499),
                .otherCrashGap = oneOf(std::array<Millis, 2>{0, 8000}),
                .lostNotices = oneOf(std::array<unsigned, 2>{0, 5}),
                .impatient = oneOf(std::array<unsigned, 2>{0, 30}),
                .routerDeathGap = oneOf(std::array<Millis, 2>{0, 15'000}),
                .lingering = oneOf(std::array<Millis, 3>{0, 50, 300}),
                .separateStreams = FLAGS_separate_streams};
    }

    /// Makes the day one on which one or two parts crash targets. Such days always have separate streams.
    void addParts(PoisonDay &day)
    {
        day.separateStreams = true;
        day.crashingParts = static_cast<int>(between(1, 2));
        day.crashingPartFirst = between(0, 1) == 1;
        day.companionPart = between(0, 1) == 1;
        day.crashingFrom = oneOf(std::array<Millis, 2>{0, 8000});
        day.domainCrashGap = oneOf(std::array<Millis, 2>{0, 60'000});
        day.storeAway = between(0, 1) == 1;
    }

private:
    Millis between(Millis least, Millis most)
    {
        return least + static_cast<Millis>(m_random() % static_cast<std::uint64_t>(most - least + 1));
    }

    template<typename Value, std::size_t count>
    Value oneOf(const std::array<Value, count> &values)
    {
        return values[m_random() % count];
    }

    std::mt19937_64 m_random;
};

std::vector<Outcome> play(std::span<const PoisonDay> days)
{
    std::vector<Outcome> outcomes(days.size());
    tbb::parallel_for(std::size_t{0}, days.size(), [&](std::size_t number) {
        PoisonFleet fleet(days[number]);
        fleet.play();
        outcomes[number] = {.lateCopies = fleet.lateCopies(),
                            .crashed = fleet.crashedByPoison(),
                            .longestRefused = fleet.longestRefused(),
                            .servedShare = fleet.servedShare()};
    });
    return outcomes;
}

boost::json::object describe(const PoisonDay &day, const Outcome &outcome)
{
    return {{"seed", day.seed},
            {"routers", day.routers},
            {"targets", day.targets},
            {"copy_gap_ms", day.copyGap},
            {"other_crash_gap_ms", day.otherCrashGap},
            {"lost_notices", day.lostNotices},
            {"impatient", day.impatient},
            {"router_death_gap_ms", day.routerDeathGap},
            {"lingering_ms", day.lingering},
            {"crashing_parts", day.crashingParts},
            {"crashing_part_first", day.crashingPartFirst},
            {"companion_part", day.companionPart},
            {"crashing_from_ms", day.crashingFrom},
            {"domain_crash_gap_ms", day.domainCrashGap},
            {"store_away", day.storeAway},
            {"late_copies", outcome.lateCopies},
            {"refused_ms", outcome.longestRefused},
            {"served_share", outcome.servedShare},
            {"crashed", outcome.crashed}};
}

}

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("plays drawn days of a fleet before targets that one request crashes, and counts those that break a bound");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    DayDrawer drawer(FLAGS_seed);
    std::vector<PoisonDay> days(FLAGS_days);
    std::ranges::generate(days, [&] {
        PoisonDay day = FLAGS_ordinary ? drawer.ordinary() : drawer.extreme();
        if (FLAGS_parts) {
            drawer.addParts(day);
        }
        return day;
    });
    const std::vector<Outcome> outcomes = play(days);
    std::size_t late = 0;
    std::size_t refused = 0;
    std::size_t broken = 0;
    double lateCopies = 0;
    double crashed = 0;
    for (std::size_t number = 0; number < days.size(); ++number) {
        const Outcome &outcome = outcomes[number];
        const bool passed = outcome.lateCopies > s_mostLate;
        const bool heldBack = outcome.longestRefused > s_longestRefusal || outcome.servedShare < s_leastServed;
        late += passed ? 1 : 0;
        refused += heldBack ? 1 : 0;
        broken += passed || heldBack ? 1 : 0;
        lateCopies += outcome.lateCopies;
        crashed += outcome.crashed;
        if (FLAGS_list && (passed || heldBack)) {
            std::cout << boost::json::serialize(describe(days[number], outcome)) << "\n";
        }
    }
    const auto count = static_cast<double>(days.size());
    std::cout << boost::json::serialize(boost::json::object{{"measure", "quarantine"},
                                                            {"population", FLAGS_ordinary ? "ordinary" : "extreme"},
                                                            {"separate_streams", FLAGS_separate_streams || FLAGS_parts},
                                                            {"parts", FLAGS_parts},
                                                            {"seed", FLAGS_seed},
                                                            {"days", days.size()},
                                                            {"days_broken", broken},
                                                            {"by_late_copies", late},
                                                            {"by_refusals", refused},
                                                            {"late_copies_a_day", lateCopies / count},
                                                            {"targets_crashed_a_day", crashed / count}})
              << "\n";
    return 0;
}
