#include "routing/loadlink.h"

#include "clock/steadytime.h"
#include "net/workerpool.h"
#include "routing/loadserver.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <map>

using namespace bamboohold;

namespace asio = boost::asio;

namespace {

/// Relays and routers of one loop, on loopback.
struct Scene {
    Scene()
        : server(loop.get_executor(), {asio::ip::make_address("127.0.0.1"), 0})
        , one(loop.get_executor(), {.incarnation = "one", .address = "127.0.0.1", .leastWait = s_patience, .mostWait = s_patience})
        , other(loop.get_executor(), {.incarnation = "other", .address = "127.0.0.1", .leastWait = s_patience, .mostWait = s_patience})
    {
        BOOST_REQUIRE(server.open().ok());
        for (LoadLink *link : {&one, &other}) {
            link->onAnswers(
                [this](const std::string &incarnation, const TargetNews &news) {
                    heard[incarnation] = news.others;
                    limits[incarnation] = news.limit;
                },
                [this](const std::string &incarnation) {
                    silent.push_back(incarnation);
                });
            BOOST_REQUIRE(link->open().ok());
        }
    }

    LoadNotice notice(TargetLoad load) const
    {
        return {.incarnation = "target", .relay = absl::StrCat("127.0.0.1:", server.port()), .load = load};
    }

    /// Asks, and returns once there is an answer or the time for it is up.
    void ask(LoadLink &link, LoadNotice notice)
    {
        asio::co_spawn(
            loop,
            [&]() -> asio::awaitable<void> {
                co_await link.ask({&notice, 1});
            },
            [this](const std::exception_ptr &) {
                loop.stop();
            });
        loop.run();
        loop.restart();
    }

    Admission askAdmission(LoadLink &link, LoadNotice notice, AdmissionRates rates)
    {
        AdmissionAnswer answer;
        asio::co_spawn(
            loop,
            [&]() -> asio::awaitable<void> {
                answer = co_await link.askAdmission(notice, rates);
            },
            [this](const std::exception_ptr &) {
                loop.stop();
            });
        loop.run();
        loop.restart();
        return answer.admission;
    }

    /// Answers come within microseconds here; this only bounds a test that fails.
    static constexpr Duration s_patience = std::chrono::milliseconds(200);

    asio::io_context loop;
    LoadServer server;
    LoadLink one;
    LoadLink other;
    std::map<std::string, TargetLoad> heard;
    std::map<std::string, std::optional<double>> limits;
    std::vector<std::string> silent;
};

}

BOOST_AUTO_TEST_SUITE(LoadLinkTest)

BOOST_AUTO_TEST_CASE(routersHearOfEachOther)
{
    Scene scene;
    scene.ask(scene.one, scene.notice({.outstanding = 2, .unread = 500}));
    BOOST_TEST((scene.heard["target"] == TargetLoad{}));
    scene.ask(scene.other, scene.notice({}));
    BOOST_TEST((scene.heard["target"] == TargetLoad{.outstanding = 2, .unread = 500}));
    scene.one.tell(scene.notice({.outstanding = 1}));
    scene.ask(scene.other, scene.notice({}));
    BOOST_TEST((scene.heard["target"] == TargetLoad{.outstanding = 1}));
}

// A plain service has no relay beside it. The first request finds that out, and the next ones do not wait for it again.
BOOST_AUTO_TEST_CASE(absentRelayIsNotWaitedForAgain)
{
    Scene scene;
    LoadNotice nobody = scene.notice({});
    nobody.relay = "127.0.0.1:9";
    scene.ask(scene.one, nobody);
    BOOST_TEST(scene.heard.empty());
    // No relay is known to be there, so that its silence says nothing of the target.
    BOOST_TEST(scene.silent.empty());
    const Instant begun = steadyNow();
    scene.ask(scene.one, nobody);
    BOOST_TEST((steadyNow() - begun < Scene::s_patience));
}

// Guards against a cold target that gets requests on the word of a relay that has just started and does not know what it granted before, or
// of none at all.
BOOST_AUTO_TEST_CASE(onlyAnAnswerAdmits)
{
    Scene scene;
    BOOST_TEST((scene.askAdmission(scene.one, scene.notice({}), {.cold = 10}) == Admission::Denied));
    LoadNotice nobody = scene.notice({});
    nobody.relay = "127.0.0.1:9";
    BOOST_TEST((scene.askAdmission(scene.one, nobody, {.cold = 10}) == Admission::NoRelay));
    nobody.relay.clear();
    BOOST_TEST((scene.askAdmission(scene.one, nobody, {.cold = 10}) == Admission::NoRelay));
}

// Guards against a limit that only the routers know which the target has answered, and against one that outlives its end at the others.
BOOST_AUTO_TEST_CASE(routersHearOfLimits)
{
    Scene scene;
    scene.ask(scene.one, scene.notice({}));
    BOOST_TEST(!scene.limits["target"]);
    LoadNotice told = scene.notice({});
    told.heardLimit = 2.5;
    scene.one.tell(told);
    scene.ask(scene.other, scene.notice({}));
    BOOST_TEST((scene.limits["target"] == 2.5));
    told.heardLimit = 0;
    scene.other.tell(told);
    scene.ask(scene.one, scene.notice({}));
    BOOST_TEST((scene.limits["target"] == 0.0));
}

BOOST_AUTO_TEST_SUITE_END()
