#include "routing/loadserver.h"
#include "tests/gatewayfixture.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <set>

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
    explicit VersionsFixture(const std::vector<std::string> &versions, const std::string &relay = "")
        : GatewayFixture(std::vector<std::vector<PeerAction>>(
            versions.size(), {stream(event(1) + "id: 2\n", PeerEnding::Reset), stream(event(2) + event(3))}))
    {
        for (std::size_t index = 0; index < versions.size(); ++index) {
            setVersion(index, versions[index], relay);
        }
    }
};

/// A router, a relay, and another router that has told the relay where streams began.
struct KeptStreamsFixture {
    explicit KeptStreamsFixture(const std::vector<std::string> &versions)
        : router(versions)
        , relay(router.executor(), {asio::ip::make_address("127.0.0.1"), 0})
        , client(router.executor(), {.incarnation = "this~1"})
        , otherRouter(router.executor(), {.incarnation = "other~1"})
    {
        BOOST_REQUIRE(relay.open().ok());
        BOOST_REQUIRE(client.open().ok());
        BOOST_REQUIRE(otherRouter.open().ok());
        client.setCallbacks([](const std::string &, const TargetLoadReply &) {}, {});
        router.gateway().streamOrigins().setLoadClient(client);
        for (std::size_t index = 0; index < versions.size(); ++index) {
            router.setVersion(index, versions[index], relayAddress());
        }
    }

    std::string relayAddress() const
    {
        return absl::StrCat("127.0.0.1:", relay.port());
    }

    void began(const std::string &team, const std::string &requestId, const StreamOrigin &origin)
    {
        otherRouter.reportStream(relayAddress(), streamKey(team, requestId), origin);
    }

    VersionsFixture router;
    LoadServer relay;
    LoadClient client;
    LoadClient otherRouter;
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

// Guards against a broken stream that is given up although a target of its version is left.
BOOST_AUTO_TEST_CASE(brokenStreamGoesOnAtItsVersion)
{
    for (const std::vector<std::string> &versions :
         {std::vector<std::string>{"v1", "v2", "v1", "v2"}, std::vector<std::string>{"v1", "v1"}, std::vector<std::string>{"", ""}}) {
        VersionsFixture fixture(versions);
        fixture.exchange(request("/resume/"));
        BOOST_TEST(fixture.receivedRequests() == 2U);
        std::set<std::string> serving;
        for (std::size_t index = 0; index < versions.size(); ++index) {
            if (!fixture.target(index).requests().empty()) {
                serving.insert(versions[index]);
            }
        }
        BOOST_TEST(serving.size() == 1U);
    }
}

// Guards against a stream that began at a target whose version is not known, beside targets that state theirs, and that goes on at one of
// these.
BOOST_AUTO_TEST_CASE(streamOfAnUnknownVersionDoesNotGoOnBesideOthers)
{
    for (const std::vector<std::string> &versions : {std::vector<std::string>{"", "v1"}, std::vector<std::string>{"v1", ""}}) {
        VersionsFixture fixture(versions);
        BOOST_TEST(!isCompleteStream(fixture.exchange(request("/resume/"))));
        BOOST_TEST(fixture.receivedRequests() == 1U);
    }
}

// Guards against a target whose record changes its version, and that gets streams on the strength of either record.
BOOST_AUTO_TEST_CASE(targetThatChangesItsVersionContinuesNothing)
{
    VersionsFixture fixture({"v1", "v2"});
    fixture.setVersion(1, "v1");
    BOOST_TEST(!isCompleteStream(fixture.exchange(request("/resume/"))));
    BOOST_TEST(fixture.receivedRequests() == 1U);
}

// Guards against a caller whose stream is refused although a relay knows the version that began it, and against one that gets another.
BOOST_AUTO_TEST_CASE(callerTakesItsStreamUpAtTheVersionThatBeganIt)
{
    for (std::size_t index : {0U, 1U}) {
        const std::vector<std::string> versions{"v1", "v2"};
        KeptStreamsFixture fixture(versions);
        fixture.router.schedule(Duration::zero(), [&] {
            fixture.began("team", "r0", {.service = "service", .version = versions[index]});
        });
        fixture.router.exchangeAll({{.request = request("/resume/", s_resuming), .at = std::chrono::milliseconds(20)}});
        BOOST_TEST(fixture.router.target(index).requests().size() == 1U);
        BOOST_TEST(fixture.router.target(1 - index).requests().empty());
    }
}

// Guards against a caller that names another stream than its own, or one of another team, and gets a version by it.
BOOST_AUTO_TEST_CASE(whatDoesNotFitIsRefused)
{
    struct Case {
        std::string headers;
        std::string team = "team";
        StreamOrigin origin{.service = "service", .version = "v1"};
        std::optional<StreamOrigin> second;
    };
    for (const Case &item : {Case{.headers = s_resuming, .team = "rival"},
                             Case{.headers = "X-Key: key\r\nX-Last: 1\r\nX-Resumes: forged\r\n"},
                             Case{.headers = "X-Key: key\r\nX-Last: 1\r\n"},
                             Case{.headers = s_resuming, .origin = {.service = "service", .version = "v3"}},
                             Case{.headers = s_resuming, .origin = {.service = "elsewhere", .version = "v1"}},
                             Case{.headers = s_resuming, .origin = {.service = "service", .version = ""}},
                             Case{.headers = s_resuming, .second = StreamOrigin{.service = "service", .version = "v2"}}}) {
        KeptStreamsFixture fixture({"v1", "v2"});
        fixture.router.schedule(Duration::zero(), [&] {
            fixture.began(item.team, "r0", item.origin);
            if (item.second) {
                fixture.began(item.team, "r0", *item.second);
            }
        });
        const auto answers =
            fixture.router.exchangeAll({{.request = request("/resume/", item.headers), .at = std::chrono::milliseconds(20)}});
        BOOST_TEST(answers.front().starts_with("HTTP/1.1 503 "), item.headers << answers.front());
        BOOST_TEST(contains(answers.front(), "X-Retry-Ms: "));
        BOOST_TEST(fixture.router.receivedRequests() == 0U);
    }
}

// A caller that names a request but no event holds nothing that could be continued, so its stream begins at any version.
BOOST_AUTO_TEST_CASE(streamWithoutALastEventBeginsAnew)
{
    VersionsFixture fixture({"v1", "v2"});
    BOOST_TEST(contains(fixture.exchange(request("/resume/", "X-Key: key\r\nX-Resumes: r0\r\n")), "piece1"));
}

// Guards against a router that begins a stream and tells nobody of it, so that it cannot go on once the router is dead.
BOOST_AUTO_TEST_CASE(keepersLearnOfAStreamBeforeItsCaller)
{
    KeptStreamsFixture fixture({"v1", "v2"});
    StreamQueryResult found;
    fixture.router.schedule(std::chrono::milliseconds(40), [&] {
        asio::co_spawn(fixture.router.executor(),
                       fixture.otherRouter.queryStream({fixture.relayAddress()}, streamKey("team", "r1")),
                       [&found](const std::exception_ptr &, StreamQueryResult result) {
                           found = std::move(result);
                       });
    });
    fixture.router.exchangeAll({{.request = request("/resume/")}, {.request = request("/nowhere/"), .at = std::chrono::milliseconds(120)}});
    BOOST_REQUIRE(found.origins.size() == 1U);
    const std::string began = fixture.router.target(0).requests().empty() ? "v2" : "v1";
    BOOST_TEST((found.origins.front().origin == StreamOrigin{.service = "service", .version = began}));
}

BOOST_AUTO_TEST_SUITE_END()
