#include "routing/streamorigin.h"
#include "routing/streamoriginstore.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace bamboohold;

namespace {

const StreamOrigin s_origin{.service = "drafting", .version = "v1"};
constexpr Instant s_start = Instant(std::chrono::hours(1));

}

BOOST_AUTO_TEST_SUITE(StreamOriginsTest)

BOOST_AUTO_TEST_CASE(originsAreKeptForTheirLifetime)
{
    StreamOriginStore store;
    BOOST_TEST(!store.find(7, s_start));
    store.record(7, s_origin, s_start);
    const Instant last = s_start + StreamOriginStore::s_lifetime - Duration(1);
    BOOST_REQUIRE(store.find(7, last));
    BOOST_TEST((store.find(7, last)->origin == s_origin));
    BOOST_TEST((store.find(7, last)->age == last - s_start));
    BOOST_TEST(!store.find(7, last + Duration(1)));
    store.record(7, s_origin, last);
    BOOST_TEST(store.find(7, last + Duration(1)).has_value());
}

// Guards against two streams under one id, of which one would go on at the version of the other.
BOOST_AUTO_TEST_CASE(twoOriginsContradictEachOther)
{
    for (const StreamOrigin &other :
         {StreamOrigin{.service = "drafting", .version = "v2"}, StreamOrigin{.service = "filing", .version = "v1"}}) {
        StreamOriginStore store;
        store.record(7, s_origin, s_start);
        store.record(7, s_origin, s_start);
        BOOST_TEST(!store.find(7, s_start)->contradictory);
        store.record(7, other, s_start);
        store.record(7, s_origin, s_start);
        BOOST_TEST(store.find(7, s_start)->contradictory);
    }
}

// Guards against memory that grows with the requests of a minute.
BOOST_AUTO_TEST_CASE(oldestOriginsAreForgotten)
{
    StreamOriginStore store;
    for (std::uint64_t key = 0; key < 2 * StreamOriginStore::s_maxOrigins; ++key) {
        store.record(key, s_origin, s_start + std::chrono::microseconds(key));
    }
    BOOST_TEST(store.size() == StreamOriginStore::s_maxOrigins);
    BOOST_TEST(!store.find(0, s_start));
    const std::uint64_t newest = 2 * StreamOriginStore::s_maxOrigins - 1;
    BOOST_TEST(store.find(newest, s_start + std::chrono::microseconds(newest)).has_value());
    store.record(0, s_origin, s_start + std::chrono::minutes(5));
    BOOST_TEST(store.size() == 1U);
}

BOOST_AUTO_TEST_CASE(keysDependOnTeamAndRequest)
{
    const std::set<std::uint64_t> keys{
        streamKey("a", "r"), streamKey("b", "r"), streamKey("a", "s"), streamKey("r", "a"), streamKey("ar", "")};
    BOOST_TEST(keys.size() == 5U);
}

// Guards against keepers that are not asked because another relay has come or gone since the stream began.
BOOST_AUTO_TEST_CASE(keepersAreAskedAfterChangesOfTheList)
{
    BOOST_TEST(rc::check("two changes of the list leave the keepers among the first four", [] {
        const auto size = *rc::gen::inRange(2, 40);
        const auto key = *rc::gen::arbitrary<std::uint64_t>();
        std::vector<std::string> processes;
        for (int number = 0; number < size; ++number) {
            processes.push_back(absl::StrCat("10.0.0.", number, ":7000"));
        }
        StreamKeepers before;
        before.setProcesses(processes);
        for (int change = 0; change < 2; ++change) {
            if (*rc::gen::arbitrary<bool>() && processes.size() > 2) {
                processes.erase(processes.begin() + *rc::gen::inRange<int>(0, static_cast<int>(processes.size())));
            } else {
                processes.push_back(absl::StrCat("10.0.1.", change, ":7000"));
            }
        }
        StreamKeepers after;
        after.setProcesses(processes);
        const std::vector<std::string> asked = after.keepersOf(key, 4);
        for (const std::string &keeper : before.keepersOf(key, 2)) {
            const bool exists = std::ranges::find(processes, keeper) != processes.end();
            RC_ASSERT(!exists || std::ranges::find(asked, keeper) != asked.end());
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
