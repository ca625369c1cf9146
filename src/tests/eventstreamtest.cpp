#include "gateway/eventstreamparser.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <set>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(EventStreamTest)

// However a stream is split into packets, the complete events are returned in order, and an incomplete one is held back.
BOOST_AUTO_TEST_CASE(packetBoundariesDoNotChangeTheEvents)
{
    BOOST_TEST(rc::check("any split into packets gives the same events", [] {
        std::string text;
        const auto events = *rc::gen::inRange(0, 12);
        for (int id = 1; id <= events; ++id) {
            const std::string end = *rc::gen::element<std::string>("\n", "\r\n", "\r");
            text += "id: " + std::to_string(id) + end + "data: " + std::string(*rc::gen::inRange(0, 40), 'x') + end + end;
        }
        const std::string incomplete = "id: 99\ndata: to";
        const std::string all = text + incomplete;
        EventStreamParser parser;
        std::string forwarded;
        std::size_t at = 0;
        while (at < all.size()) {
            const std::size_t size = *rc::gen::inRange<std::size_t>(1, 30);
            forwarded += parser.feed(std::string_view(all).substr(at, size));
            at += size;
        }
        RC_ASSERT(forwarded == text);
        RC_ASSERT(parser.incompleteEvent() == incomplete);
        RC_ASSERT(parser.eventCount() == static_cast<std::uint64_t>(events));
        RC_ASSERT(parser.lastEventId() == (events == 0 ? "" : std::to_string(events)));
    }));
}

// Guards against a stream that was cut inside an event and is taken for complete, and against a complete one that is taken for cut.
BOOST_AUTO_TEST_CASE(aStreamThatIsCutAnywhereIsInsideAnEventUnlessTheEventIsComplete)
{
    BOOST_TEST(rc::check("a cut is inside an event except after its blank line and after comment lines", [] {
        std::string text;
        std::set<std::size_t> between{0};
        const auto blocks = *rc::gen::inRange(1, 8);
        for (int id = 1; id <= blocks; ++id) {
            const std::string end = *rc::gen::element<std::string>("\n", "\r\n", "\r");
            const bool comment = *rc::gen::arbitrary<bool>();
            text +=
                comment ? ": note" + end : "id: " + std::to_string(id) + end + "data: " + std::string(*rc::gen::inRange(0, 9), 'x') + end;
            // A line is complete with the first byte of its end.
            for (std::size_t byte = 0; comment && byte < end.size(); ++byte) {
                between.insert(text.size() - byte);
            }
            text += end;
            for (std::size_t byte = 0; byte < end.size(); ++byte) {
                between.insert(text.size() - byte);
            }
        }
        const auto cut = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
        EventStreamParser parser;
        parser.feed(std::string_view(text).substr(0, cut));
        RC_ASSERT(parser.insideEvent() == !between.contains(cut));
    }));
}

// Guards against a stream that goes on after an id that no request can hold, or that another target would send in part again.
BOOST_AUTO_TEST_CASE(streamsGoOnAfterIdsThatCanBeSent)
{
    const auto canGoOn = [](const std::string &events) {
        EventStreamParser parser;
        BOOST_TEST(parser.feed(events) == events);
        return parser.canGoOn();
    };
    const std::string longest(EventStreamParser::s_maxEventIdBytes, '4');
    BOOST_TEST(canGoOn(""));
    BOOST_TEST(canGoOn(": note\n\n"));
    BOOST_TEST(canGoOn("id: 1\ndata: x\n\n: note\n\nretry: 5\n\n"));
    BOOST_TEST(canGoOn("id:" + longest + "\n\n"));
    using namespace std::string_literals;
    for (const std::string &id : {""s, " "s, longest + "4", "\t1"s, "1 "s, "1\0"s, "a\x01z"s, "a\x7fz"s}) {
        BOOST_TEST(!canGoOn("id: 1\n\nid: " + id + "\ndata: x\n\n"), id);
        BOOST_TEST(canGoOn("id: " + id + "\ndata: x\n\nid: 2\n\n"), id);
    }
    BOOST_TEST(!canGoOn("id: 1\n\ndata: x\n\n"));
    BOOST_TEST(!canGoOn("id: 1\n\ndata\n\n: note\n\n"));
    BOOST_TEST(canGoOn("data: x\n\nid: 2\ndata: y\n\n"));
}

BOOST_AUTO_TEST_CASE(discardDropsTheIncompleteEvent)
{
    EventStreamParser parser;
    parser.feed("id: 1\n\nid: 2\nda");
    parser.discardIncompleteEvent();
    BOOST_TEST(parser.feed("id: 2\ndata: x\n\n") == "id: 2\ndata: x\n\n");
    BOOST_TEST(parser.lastEventId() == "2");
}

BOOST_AUTO_TEST_CASE(commentsAreNotCounted)
{
    EventStreamParser parser;
    BOOST_TEST(parser.feed(": still here\n\n") == ": still here\n\n");
    BOOST_TEST(parser.eventCount() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
