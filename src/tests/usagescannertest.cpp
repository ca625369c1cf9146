#include "engine/usagescanner.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(UsageScannerTest)

namespace {

const std::string s_stream =
    "data: {\"choices\":[{\"delta\":{\"content\":\"w0 "
    "\"}}],\"usage\":{\"prompt_tokens\":12,\"completion_tokens\":1,\"total_tokens\":13}}\n\n"
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":12,\"completion_tokens\":2,\"details\":{\"cached\":4},\"total_tokens\":14}}\n\n"
    "data: [DONE]\n\n";

}

// Guards against billing a request by a partial or outdated usage object. The chunks of a response can end anywhere, also within a usage
// object; the latest complete one must be found for any chunk sizes.
BOOST_AUTO_TEST_CASE(findsTheLatestUsageForAnyChunking)
{
    const bool holds = rc::check([] {
        UsageScanner scanner;
        std::size_t begin = 0;
        while (begin < s_stream.size()) {
            const auto length = *rc::gen::inRange<std::size_t>(1, 40);
            scanner.feed(std::string_view(s_stream).substr(begin, length));
            begin += length;
        }
        RC_ASSERT(scanner.usage().has_value());
        RC_ASSERT(scanner.usage()->prompt == 12);
        RC_ASSERT(scanner.usage()->output == 2);
        RC_ASSERT(scanner.sawEndOfStream());
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(incompleteUsageIsIgnored)
{
    UsageScanner scanner;
    scanner.feed("data: {\"choices\":[]}\n\n\"usage\":null \"usage\":{\"broken\":");
    BOOST_TEST(!scanner.usage().has_value());
    BOOST_TEST(!scanner.sawEndOfStream());
}

BOOST_AUTO_TEST_SUITE_END()
