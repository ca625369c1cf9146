#include "engine/sidecardrain.h"
#include "link/linkhub.h"
#include "ownaddress.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

using namespace bamboohold;

namespace {

constexpr Instant s_limit = Instant(std::chrono::seconds(30));
constexpr Duration s_pollInterval = std::chrono::milliseconds(2);
/// Much longer than it takes from the first message until the destructor of the hub has begun.
constexpr Duration s_busyTime = std::chrono::milliseconds(200);
constexpr Duration s_answerLimit = std::chrono::seconds(5);

wire::Envelope frameOf(const std::string &requestId)
{
    wire::Envelope envelope;
    envelope.mutable_frame()->set_request_id(requestId);
    return envelope;
}

/// The link of a sidecar and that of a router. The sidecar's link handles its first message for s_busyTime.
class LinkedPair
{
public:
    using Respond = std::function<void(LinkHub &sidecar)>;

    LinkedPair(std::uint16_t port, Respond respond)
        : m_respond(std::move(respond))
        , m_endpoint(absl::StrCat("tcp://", ownAddress(), ":", port))
        , m_sidecar(std::make_unique<LinkHub>(LinkHub::Options{.identity = "sidecar", .endpoint = m_endpoint},
                                              [this](std::string_view, const wire::Envelope &) {
                                                  if (!m_busy.exchange(true)) {
                                                      std::this_thread::sleep_for(s_busyTime);
                                                  }
                                                  m_respond(*m_running);
                                              }))
        , m_router({.identity = "router", .endpoint = absl::StrCat("tcp://", ownAddress(), ":", port + 1)},
                   [this](std::string_view, const wire::Envelope &) {
                       ++m_received;
                   })
        , m_running(m_sidecar.get())
    {
        BOOST_REQUIRE(m_sidecar->open().ok());
        BOOST_REQUIRE(m_router.open().ok());
        m_router.connect("sidecar", m_endpoint);
    }

    /// Sends the sidecar this many messages and returns while it handles the first.
    void sendUntilBusy(int messages)
    {
        for (int message = 0; message < messages; ++message) {
            m_router.send("sidecar", frameOf("a"));
        }
        while (!m_busy) {
            std::this_thread::sleep_for(s_pollInterval);
        }
    }

    /// Ends the sidecar's link as the process does.
    void stopSidecar()
    {
        m_sidecar.reset();
    }

    LinkHub &sidecar()
    {
        return *m_sidecar;
    }

    /// Returns how many messages the router has received once it has this many, or after s_answerLimit.
    int receivedOf(int expected) const
    {
        for (Duration waited{}; m_received < expected && waited < s_answerLimit; waited += s_pollInterval) {
            std::this_thread::sleep_for(s_pollInterval);
        }
        return m_received;
    }

private:
    Respond m_respond;
    std::string m_endpoint;
    std::atomic<bool> m_busy = false;
    std::atomic<int> m_received = 0;
    std::unique_ptr<LinkHub> m_sidecar;
    LinkHub m_router;
    /// The sidecar's link, also while it is being destroyed.
    LinkHub *m_running;
};

}

BOOST_AUTO_TEST_SUITE(SidecarStopLosesRunsTest)

// Guards against a stop between the admission of a run and the start of its execution.
BOOST_AUTO_TEST_CASE(admittedRunIsWaitedForBeforeItExecutes)
{
    const SidecarDrain drain(s_limit);
    BOOST_TEST(drain.mustWait({.admittedRuns = 1}, s_limit - s_pollInterval));
    BOOST_TEST(!drain.mustWait({}, s_limit - s_pollInterval));
    BOOST_TEST(!drain.mustWait({.admittedRuns = 1}, s_limit));
}

// Guards against the loss of the end of a run that is queued for the link as the process stops.
BOOST_AUTO_TEST_CASE(queuedEndIsSentBeforeTheLinkCloses)
{
    LinkedPair pair(18460, [](LinkHub &) {});
    pair.sendUntilBusy(1);
    pair.sidecar().send("router", frameOf("a"));
    pair.stopSidecar();
    BOOST_TEST(pair.receivedOf(1) == 1);
}

// Guards against dispatches that have arrived as the process stops and are not refused. There are more than the link takes at a time.
BOOST_AUTO_TEST_CASE(arrivedDispatchesAreRefusedBeforeTheLinkCloses)
{
    constexpr int s_dispatches = 1000;
    LinkedPair pair(18462, [](LinkHub &sidecar) {
        sidecar.send("router", frameOf("a"));
    });
    pair.sendUntilBusy(s_dispatches);
    pair.stopSidecar();
    BOOST_TEST(pair.receivedOf(s_dispatches) == s_dispatches);
}

BOOST_AUTO_TEST_SUITE_END()
