#include "tests/gatewayfixture.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

using namespace bamboohold;

namespace {

const std::string s_resuming = "X-Key: key\r\nX-Last: 1\r\nX-Resumes: r0\r\n";

std::string event(int id)
{
    return absl::StrCat("id: ", id, "\ndata: piece", id, "\n\n");
}

PeerAction stream(const std::string &events, PeerEnding ending = PeerEnding::Keep)
{
    const std::string end = ending == PeerEnding::Keep ? chunk("") : std::string();
    return {.bytes = streamResponseHead("X-Id: r1\r\nX-Seal: s\r\n") + chunk(events) + end, .ending = ending};
}

bool isCompleteStream(const std::string &answer)
{
    return answer.ends_with("0\r\n\r\n");
}

/// A router before targets of these versions. Each breaks its first stream off after one event, and goes on with two others when asked.
struct VersionsFixture : GatewayFixture {
    explicit VersionsFixture(const std::vector<std::string> &versions)
        : GatewayFixture(std::vector<std::vector<PeerAction>>(
            versions.size(), {stream(event(1) + "id: 2\n", PeerEnding::Reset), stream(event(2) + event(3))}))
    {
        for (std::size_t index = 0; index < versions.size(); ++index) {
            setVersion(index, versions[index]);
        }
    }
};

}

BOOST_AUTO_TEST_SUITE(StreamVersionsTest)

// Guards against an answer that holds events of two software versions, because its stream went on at a target of another one.
BOOST_AUTO_TEST_CASE(brokenStreamDoesNotGoOnAtAnotherVersion)
{
    VersionsFixture fixture({"v1", "v2"});
    const std::string answer = fixture.exchange(request("/resume/"));
    BOOST_TEST(contains(answer, "piece1"));
    BOOST_TEST(!isCompleteStream(answer));
    BOOST_TEST(fixture.receivedRequests() == 1U);
}

// Guards against a caller that holds events of two software versions, because it took its stream up at a router that knows nothing of it.
BOOST_AUTO_TEST_CASE(unknownStreamIsNotContinuedAtAnyVersion)
{
    VersionsFixture fixture({"v1", "v2"});
    const std::string answer = fixture.exchange(request("/resume/", s_resuming));
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(contains(answer, "X-Retry-Ms: "));
    BOOST_TEST(fixture.receivedRequests() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
