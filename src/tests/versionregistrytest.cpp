#include "membership/versionregistry.h"
#include "tests/sharedrows.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>

using namespace bamboohold;

namespace {

const std::string s_service = "drafting";

/// A router's view of the list, and what it learns from the store.
struct Router {
    explicit Router(SharedRows &rows, bool firstStart = false)
        : registry(loop.get_executor(),
                   rows,
                   {.view =
                        [this] {
                            return view;
                        },
                    .onRow =
                        [this](const std::string &, const VersionRow &row, StoreTimeMs) {
                            known = row;
                        },
                    .firstStart = firstStart})
    {
    }

    bool synchronise()
    {
        bool done = false;
        boost::asio::co_spawn(loop, registry.synchronise(), [&done](const std::exception_ptr &, bool result) {
            done = result;
        });
        loop.run();
        loop.restart();
        return done;
    }

    void lists(std::set<std::string> versions, Instant followedSince = steadyNow())
    {
        view = {.followedSince = followedSince, .versions = {{s_service, std::move(versions)}}};
    }

    boost::asio::io_context loop;
    VersionRegistry<SharedRows>::View view;
    std::optional<VersionRow> known;
    VersionRegistry<SharedRows> registry;
};

}

BOOST_AUTO_TEST_SUITE(VersionRegistryTest)

// Guards against routers that all restart, and none of which knows that streams may have begun at a version that has just left.
BOOST_AUTO_TEST_CASE(formerVersionsSurviveARestartOfAllRouters)
{
    SharedRows rows;
    {
        Router before(rows);
        before.lists({"v1", "v2"});
        BOOST_TEST(before.synchronise());
    }
    rows.now += 4000;
    Router after(rows);
    after.lists({"v2"});
    BOOST_TEST(after.synchronise());
    BOOST_REQUIRE(after.known);
    BOOST_TEST((after.known->versions == std::map<std::string, std::optional<StoreTimeMs>>{{"v1", rows.now}, {"v2", std::nullopt}}));
    BOOST_TEST(after.known->since <= rows.now - 4000);
    rows.now += 700'000;
    after.lists({"v2", "v3"});
    BOOST_TEST(after.synchronise());
    BOOST_TEST(!after.known->versions.contains("v1"));
    BOOST_TEST(after.known->versions.contains("v3"));
}

// Every router sees the change of the list. One of them writes the row.
BOOST_AUTO_TEST_CASE(oneOfManyRoutersWrites)
{
    SharedRows rows;
    std::vector<std::unique_ptr<Router>> routers;
    for (int number = 0; number < 5; ++number) {
        routers.push_back(std::make_unique<Router>(rows));
        routers.back()->lists({"v1"});
        BOOST_TEST(routers.back()->synchronise());
    }
    BOOST_TEST(rows.writes == 1);
    for (const auto &router : routers) {
        router->lists({"v1", "v2"}, *router->view.followedSince);
        BOOST_TEST(router->synchronise());
    }
    BOOST_TEST(rows.writes == 2);
}

// A router that does not follow the list has nothing to say about it.
BOOST_AUTO_TEST_CASE(withoutTheListNothingIsWritten)
{
    SharedRows rows;
    Router router(rows);
    router.lists({"v1"});
    router.view.followedSince.reset();
    BOOST_TEST(!router.synchronise());
    BOOST_TEST(rows.writes == 0);
}

// Guards against a row that cannot be read and is taken for one without former versions since long ago.
BOOST_AUTO_TEST_CASE(unreadableRowsAreReplacedByWhatIsKnown)
{
    SharedRows rows;
    rows.put({.table = std::string(s_versionTable), .part = "", .key = s_service}, "\xff\xff garbage");
    Router router(rows);
    router.lists({"v1"}, steadyNow() - std::chrono::seconds(3));
    BOOST_TEST(router.synchronise());
    BOOST_REQUIRE(router.known);
    BOOST_TEST(router.known->since <= rows.now - 3000);
    BOOST_TEST(router.known->since > rows.now - 60'000);
    Router other(rows);
    other.lists({"v1"});
    BOOST_TEST(other.synchronise());
    BOOST_TEST((other.known == router.known));
}

// Guards against a fleet that has just started for the first time and refuses streams because of what may have been before.
BOOST_AUTO_TEST_CASE(nothingWasBeforeTheFirstStart)
{
    SharedRows rows;
    rows.now = 20;
    Router first(rows, true);
    first.lists({"v1"});
    BOOST_TEST(first.synchronise());
    Router later(rows);
    later.lists({"v1"});
    BOOST_TEST(later.synchronise());
    BOOST_TEST(later.known->since < rows.now - 3'600'000);
}

BOOST_AUTO_TEST_CASE(textOfARowIsReadBack)
{
    const VersionRow row{.since = 7, .versions = {{"", std::nullopt}, {"v1", 12}, {"v2", std::nullopt}}};
    BOOST_TEST((versionRowFrom(toText(row)).value() == row));
    BOOST_TEST(!versionRowFrom("\xff").ok());
}

BOOST_AUTO_TEST_SUITE_END()
