#include "budget/checkpointrow.h"
#include "budget/holdingrows.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <string>
#include <vector>

using namespace bamboohold;

namespace {

const PoolRow s_pool{.prepaid = 5'000'000, .planVersion = 7, .allocated = 4'000'000};
const HolderRow s_holder{.incarnation = "router~1",
                         .flushSequence = 12,
                         .granted = 90'000,
                         .settled = 70'000,
                         .committed = 75'000,
                         .demand = 900,
                         .writtenAt = 1'000'000};

StoredRow row(std::string value)
{
    return {.address = {.table = "budget", .part = "team", .key = "row"}, .value = std::move(value), .version = 3};
}

Tokens freeIn(const PoolRow &pool)
{
    return pool.prepaid - pool.allocated;
}

/// Returns the text with up to three bytes changed.
std::string corrupted(std::string text, std::mt19937 &random)
{
    for (unsigned change = random() % 3 + 1; change > 0; --change) {
        text[random() % text.size()] = static_cast<char>(random());
    }
    return text;
}

}

BOOST_AUTO_TEST_SUITE(StoredRowsTest)

BOOST_AUTO_TEST_CASE(validRowsAreReadBack)
{
    const PoolRow pool = poolRowFrom(row(toText(s_pool)));
    BOOST_TEST(pool.prepaid == s_pool.prepaid);
    BOOST_TEST(pool.allocated == s_pool.allocated);
    const HolderRow holder = holderRowFrom(row(toText(s_holder)));
    BOOST_TEST(holder.incarnation == s_holder.incarnation);
    BOOST_TEST(holder.granted == s_holder.granted);
    BOOST_TEST(holder.committed == s_holder.committed);
}

// A router may have started before the origin of the store's clock, so negative times are valid.
BOOST_AUTO_TEST_CASE(timesBeforeTheStoresOriginAreValid)
{
    HolderRow holder = s_holder;
    holder.writtenAt = -1500;
    BOOST_TEST(holderRowFrom(row(toText(holder))).granted == s_holder.granted);
    const CheckpointRow checkpoint{.own = {.incarnation = "router~2", .baseline = -200},
                                   .predecessors = {{.incarnation = "router~1", .baseline = -900, .diedBefore = -100}}};
    const CheckpointRow back = checkpointRowFrom(row(toText(checkpoint)));
    BOOST_TEST(back.own.incarnation == "router~2");
    BOOST_TEST(back.predecessors.size() == 1U);
}

// Guards against a team that gets its budget twice: a pool row whose allocated tokens are missing or invalid must not be read as a pool of
// which nothing is allocated.
BOOST_AUTO_TEST_CASE(anInvalidPoolHasNothingFree)
{
    for (const char *text : {"",
                             "[]",
                             "{}",
                             R"({"prepaid":5000000,"plan_version":7})",
                             R"({"prepaid":5000000,"plan_version":7,"allocated":"4000000"})",
                             R"({"prepaid":5000000,"plan_version":7,"allocated":4e6})",
                             R"({"prepaid":5000000,"plan_version":7,"allocated":-4000000})",
                             R"({"prepaid":5000000,"plan_version":7,"allocated":null})",
                             R"({"prepaid":9223372036854775807,"plan_version":7,"allocated":0})",
                             R"({"prepaid":5000000,"plan_version":7,"allocated":18446744073709551615})"}) {
        BOOST_TEST(freeIn(poolRowFrom(row(text))) < 0, text);
    }
}

// A dead router's row has missing or invalid counts: nothing of it is returned to the pool.
BOOST_AUTO_TEST_CASE(anInvalidHolderHasNothingToReturn)
{
    for (const char *text :
         {"",
          "{}",
          R"({"incarnation":"router~1","granted":90000})",
          R"({"incarnation":7,"flush":1,"granted":90000,"settled":0,"committed":0,"demand":0,"written_at_ms":0})",
          R"({"incarnation":"r","flush":1,"granted":9223372036854775807,"settled":0,"committed":0,"demand":0,"written_at_ms":0})",
          R"({"incarnation":"r","flush":1,"granted":90000,"settled":-5,"committed":0,"demand":0,"written_at_ms":0})",
          R"({"incarnation":"r","flush":1,"granted":90000.5,"settled":0,"committed":0,"demand":0,"written_at_ms":0})"}) {
        BOOST_TEST(holderRowFrom(row(text)).granted == 0, text);
    }
}

// Guards against checkpoints with negative or huge limits, by which a dead router would have spent a negative number of tokens, or sums
// would overflow.
BOOST_AUTO_TEST_CASE(anInvalidCheckpointIsIgnored)
{
    const std::string valid =
        toText(CheckpointRow{.own = {.incarnation = "router~1", .sequence = 4, .baseline = 1000, .teams = {{"team", {10, 20, 30}}}}});
    BOOST_TEST(checkpointRowFrom(row(valid)).own.teams.at("team").committed == 10);
    for (const char *numbers : {"[-10,20,30]", "[10,20]", "[10,20,9223372036854775807]", "[10,20,3e4]", "[10,null,30]", "{}"}) {
        std::string text = valid;
        text.replace(text.find("[10,20,30]"), std::string("[10,20,30]").size(), numbers);
        BOOST_TEST(checkpointRowFrom(row(text)).own.incarnation.empty(), text);
    }
}

// Whatever bytes a row contains, no process crashes, and no budget has more free tokens than were paid for.
BOOST_AUTO_TEST_CASE(arbitraryBytesDoNotCrash)
{
    std::mt19937 random(20261203);
    const std::string checkpoint = toText(CheckpointRow{.own = {.incarnation = "router~1", .teams = {{"team", {10, 20, 30}}}}});
    for (int round = 0; round < 4000; ++round) {
        const PoolRow pool = poolRowFrom(row(corrupted(toText(s_pool), random)));
        BOOST_TEST((pool.allocated >= 0 && pool.prepaid >= 0));
        const HolderRow holder = holderRowFrom(row(corrupted(toText(s_holder), random)));
        BOOST_TEST((holder.granted >= 0 && holder.settled >= 0));
        for (const auto &[team, commitment] : checkpointRowFrom(row(corrupted(checkpoint, random))).own.teams) {
            BOOST_TEST(commitment.limitAfter(1e6) >= 0);
        }
    }
    const std::string nested(200'000, '[');
    BOOST_TEST(holderRowFrom(row(nested)).granted == 0);
    BOOST_TEST(checkpointRowFrom(row(nested)).own.incarnation.empty());
}

BOOST_AUTO_TEST_SUITE_END()
