#include "gateway/eventstream.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(EventStreamTest)

// However a stream is cut into packets, the whole events come out in order and complete, and a torn one stays back.
BOOST_AUTO_TEST_CASE(cutsDoNotMatter)
{
    BOOST_TEST(rc::check("any cutting gives the same events", [] {
        std::string text;
        const auto events = *rc::gen::inRange(0, 12);
        for (int id = 1; id <= events; ++id) {
            const std::string end = *rc::gen::arbitrary<bool>() ? "\n" : "\r\n";
            text += "id: " + std::to_string(id) + end + "data: " + std::string(*rc::gen::inRange(0, 40), 'x') + end + end;
        }
        const std::string torn = "id: 99\ndata: to";
        const std::string all = text + torn;
        EventStream stream;
        std::string passed;
        std::size_t at = 0;
        while (at < all.size()) {
            const std::size_t size = *rc::gen::inRange<std::size_t>(1, 30);
            passed += stream.feed(std::string_view(all).substr(at, size));
            at += size;
        }
        RC_ASSERT(passed == text);
        RC_ASSERT(stream.remainder() == torn);
        RC_ASSERT(stream.events() == static_cast<std::uint64_t>(events));
        RC_ASSERT(stream.lastId() == (events == 0 ? "" : std::to_string(events)));
    }));
}

BOOST_AUTO_TEST_CASE(restartDropsTheTornEvent)
{
    EventStream stream;
    stream.feed("id: 1\n\nid: 2\nda");
    stream.restart();
    BOOST_TEST(stream.feed("id: 2\ndata: x\n\n") == "id: 2\ndata: x\n\n");
    BOOST_TEST(stream.lastId() == "2");
}

BOOST_AUTO_TEST_CASE(commentsAreNoEvents)
{
    EventStream stream;
    BOOST_TEST(stream.feed(": still here\n\n") == ": still here\n\n");
    BOOST_TEST(stream.events() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
