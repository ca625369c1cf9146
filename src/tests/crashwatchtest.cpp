#include "quarantine/crashwatch.h"

#include "routing/stablehash.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace bamboohold;

namespace {

using Action = CrashWatch::Action;

FingerprintPair request(const std::string &body)
{
    return fingerprintsOf({.body = body});
}

/// Returns the fingerprints of all requests.
std::vector<RequestFingerprint> all(const std::vector<FingerprintPair> &requests)
{
    std::vector<RequestFingerprint> fingerprints;
    for (const FingerprintPair &pair : requests) {
        fingerprints.insert(fingerprints.end(), pair.begin(), pair.end());
    }
    return fingerprints;
}

constexpr Instant s_now = Instant{} + std::chrono::hours(1);

}

BOOST_AUTO_TEST_SUITE(CrashWatchTest)

// All connections of a crashed target close at once. The target is probed once, and all requests in flight there are reported together. An
// interruption that the event loop handles later is reported too.
BOOST_AUTO_TEST_CASE(aTargetThatRefusesConnectionsHasCrashed)
{
    CrashWatch watch;
    BOOST_TEST((watch.attemptInterrupted("target", request("a"), s_now) == Action::Probe));
    BOOST_TEST((watch.attemptInterrupted("target", request("b"), s_now) == Action::Wait));
    BOOST_TEST((watch.attemptInterrupted("other", request("c"), s_now) == Action::Probe));
    BOOST_TEST((watch.connectionRefused("target", s_now) == all({request("a"), request("b")})));
    BOOST_TEST((watch.attemptInterrupted("target", request("d"), s_now) == Action::Report));
}

// Guards against blaming requests for a lost response or a reset connection of a target that stays alive, also when that target crashes for
// another reason a moment later.
BOOST_AUTO_TEST_CASE(aTargetThatAcceptsConnectionsIsAlive)
{
    CrashWatch watch;
    watch.attemptInterrupted("target", request("a"), s_now);
    watch.targetAlive("target");
    BOOST_TEST((watch.attemptInterrupted("target", request("b"), s_now) == Action::Probe));
    BOOST_TEST((watch.connectionRefused("target", s_now) == all({request("b")})));
}

// Guards against a caller with a short timeout never being seen at a crash: it disconnects, this router cancels its request, and the target
// crashes a moment later because of that request.
BOOST_AUTO_TEST_CASE(recentlyCancelledRequestsCount)
{
    CrashWatch watch;
    watch.callerDisconnected("target", request("long ago"), s_now - std::chrono::seconds(5));
    watch.callerDisconnected("target", request("just now"), s_now - std::chrono::milliseconds(300));
    watch.callerDisconnected("other", request("elsewhere"), s_now);
    watch.attemptInterrupted("target", request("a"), s_now);
    // The target is found to refuse connections some time after its crash.
    BOOST_TEST((watch.connectionRefused("target", s_now + std::chrono::seconds(2)) == all({request("a"), request("just now")})));
    BOOST_TEST(watch.connectionRefused("target", s_now + std::chrono::seconds(2)).empty());
}

// This router had no other request on the target, so that no interruption of its own shows the crash. A peer reports it.
BOOST_AUTO_TEST_CASE(recentlyCancelledRequestsCountWhenAPeerReportsTheCrash)
{
    CrashWatch watch;
    watch.callerDisconnected("target", request("a"), s_now);
    BOOST_TEST(watch.takeCancelled(stableHash("other"), s_now).empty());
    BOOST_TEST((watch.takeCancelled(stableHash("target"), s_now + std::chrono::milliseconds(200)) == all({request("a")})));
    BOOST_TEST(watch.takeCancelled(stableHash("target"), s_now + std::chrono::milliseconds(200)).empty());
}

// Guards against forgetting responses that arrive between a crash and its report.
BOOST_AUTO_TEST_CASE(answersAreRecordedAfterAnInterruption)
{
    CrashWatch watch;
    BOOST_TEST(!watch.recentlyInterrupted(s_now));
    watch.attemptInterrupted("target", request("a"), s_now);
    watch.attemptInterrupted("target", request("b"), s_now + std::chrono::milliseconds(5));
    BOOST_TEST((watch.interruptedSince("target", s_now + std::chrono::seconds(1)) == s_now));
    BOOST_TEST((watch.interruptedSince("other", s_now + std::chrono::seconds(1)) == s_now + std::chrono::seconds(1)));
    BOOST_TEST(watch.recentlyInterrupted(s_now + std::chrono::seconds(30)));
    BOOST_TEST(!watch.recentlyInterrupted(s_now + std::chrono::minutes(10)));
    CrashWatch peer;
    peer.peerAttemptsInterrupted(stableHash("target"), all({request("a")}), s_now);
    BOOST_TEST(peer.recentlyInterrupted(s_now));
}

// Guards against a router that starts without knowledge of requests interrupted a moment ago.
BOOST_AUTO_TEST_CASE(aStartingRouterLearnsOfUnconfirmedCrashes)
{
    CrashWatch watch;
    watch.attemptInterrupted("here", request("a"), s_now);
    watch.peerAttemptsInterrupted(stableHash("elsewhere"), all({request("b")}), s_now);
    watch.attemptInterrupted("crashed", request("c"), s_now);
    watch.connectionRefused("crashed", s_now);
    const std::vector<CrashWatch::UnconfirmedCrash> unconfirmed = watch.unconfirmedCrashes(s_now + std::chrono::seconds(1));
    BOOST_REQUIRE(unconfirmed.size() == 2U);
    BOOST_TEST(unconfirmed.front().target == stableHash("here"));
    BOOST_TEST((unconfirmed.back().inFlight == all({request("b")})));
    BOOST_TEST(watch.unconfirmedCrashes(s_now + std::chrono::seconds(10)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(oldCrashesAreForgotten)
{
    CrashWatch watch;
    watch.attemptInterrupted("target", request("a"), s_now);
    watch.connectionRefused("target", s_now);
    watch.expire(s_now + std::chrono::minutes(1));
    BOOST_TEST((watch.attemptInterrupted("target", request("b"), s_now + std::chrono::minutes(1)) == Action::Probe));
}

// Guards against losing the requests that a router had in flight on a crashed target, when the router terminates before the port of the
// target closes.
BOOST_AUTO_TEST_CASE(peersKnowTheRequestsInterruptedByACrash)
{
    CrashWatch watch;
    watch.attemptInterrupted("target", request("a"), s_now);
    BOOST_TEST((watch.takeUnannounced("target") == all({request("a")})));
    BOOST_TEST(watch.takeUnannounced("target").empty());
    watch.attemptInterrupted("target", request("b"), s_now);
    BOOST_TEST((watch.takeUnannounced("target") == all({request("b")})));
    CrashWatch peer;
    const std::uint64_t target = stableHash("target");
    BOOST_TEST(peer.peerAttemptsInterrupted(target, all({request("a")}), s_now).empty());
    BOOST_TEST((peer.confirmCrash(target, s_now) == all({request("a")})));
    BOOST_TEST((peer.peerAttemptsInterrupted(target, all({request("b")}), s_now) == all({request("b")})));
}

// Guards against blaming requests for a crash that came long after the connection of a peer was reset.
BOOST_AUTO_TEST_CASE(requestsInterruptedLongBeforeACrashAreNotBlamed)
{
    CrashWatch peer;
    const std::uint64_t target = stableHash("target");
    peer.peerAttemptsInterrupted(target, all({request("a")}), s_now);
    BOOST_TEST(peer.confirmCrash(target, s_now + std::chrono::seconds(5)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
