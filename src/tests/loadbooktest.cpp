#include "routing/loadbook.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

namespace {

Duration ms(std::int64_t value)
{
    return std::chrono::milliseconds(value);
}

LoadReport report(std::uint64_t router, std::uint64_t sequence, TargetLoad load, std::uint64_t target = 1)
{
    return {.router = router, .target = target, .sequence = sequence, .load = load};
}

struct Book {
    TargetLoad noted(const LoadReport &report)
    {
        return book.noted(report, now);
    }

    LoadBook book;
    Instant now = Instant(std::chrono::seconds(100));
};

}

BOOST_AUTO_TEST_SUITE(LoadBookTest)

BOOST_AUTO_TEST_CASE(tellsWhatAllOthersHave)
{
    Book scene;
    scene.noted(report(1, 1, {.outstanding = 2, .unread = 900}));
    scene.noted(report(2, 1, {.outstanding = 1, .unread = 100}));
    BOOST_TEST((scene.noted(report(3, 1, {.outstanding = 7, .unread = 7000})) == TargetLoad{.outstanding = 3, .unread = 1000}));
    BOOST_TEST((scene.noted(report(1, 2, {})) == TargetLoad{.outstanding = 8, .unread = 7100}));
}

// Datagrams overtake each other. An older total that arrives late would bring back requests that have ended.
BOOST_AUTO_TEST_CASE(olderReportChangesNothing)
{
    Book scene;
    scene.noted(report(1, 5, {}));
    scene.noted(report(1, 4, {.outstanding = 9, .unread = 9000}));
    BOOST_TEST((scene.noted(report(2, 1, {})) == TargetLoad{}));
}

// A router loses power with requests under way, and never says that they have ended. Its load would stand against the target for good.
BOOST_AUTO_TEST_CASE(routerThatSaysNothingIsForgotten)
{
    Book scene;
    scene.noted(report(1, 1, {.outstanding = 9, .unread = 9000}));
    scene.now += LoadBook::s_expiry + ms(1);
    BOOST_TEST((scene.noted(report(2, 1, {})) == TargetLoad{}));
}

// The target's process has started again on the same host. What routers had at its former life is not under way at this one.
BOOST_AUTO_TEST_CASE(formerLifeOfTheTargetDoesNotCount)
{
    Book scene;
    scene.noted(report(1, 1, {.outstanding = 9, .unread = 9000}, 1));
    BOOST_TEST((scene.noted(report(2, 1, {.outstanding = 1}, 2)) == TargetLoad{}));
}

BOOST_AUTO_TEST_SUITE_END()
