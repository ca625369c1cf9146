#include "membership/planfetchscheduler.h"

#include "membership/plansource.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace bamboohold;

namespace {

Instant at(int ms)
{
    return Instant(std::chrono::milliseconds(ms));
}

PlanFetchScheduler makeScheduler()
{
    return PlanFetchScheduler({.self = "me"});
}

/// A document of 100 KB, which is four pieces; it begins with its version.
std::string document(std::uint64_t version)
{
    return absl::StrCat(version, ":") + std::string(100'000, 'x');
}

/// Time that the link takes for one piece, in milliseconds.
constexpr int s_pieceMs = 50;

}

BOOST_AUTO_TEST_SUITE(PlanSeekerTest)

BOOST_AUTO_TEST_CASE(waitForTheStoreGrowsWithTheDocument)
{
    PlanFetchScheduler small = makeScheduler();
    small.setVersionInForce(1, 1000);
    small.recordPeerVersion("peer", 2, at(0));
    BOOST_TEST(!small.nextPieceRequest(at(249)));
    BOOST_TEST(small.nextPieceRequest(at(260)).has_value());

    PlanFetchScheduler large = makeScheduler();
    large.setVersionInForce(1, 450'000);
    large.recordPeerVersion("peer", 2, at(0));
    BOOST_TEST(!large.nextPieceRequest(at(1200)));
    BOOST_TEST(large.nextPieceRequest(at(1260)).has_value());
    large.setStoreReachable(false);
    BOOST_TEST(large.nextPieceRequest(at(260)).has_value());
}

BOOST_AUTO_TEST_CASE(versionsReceivedFromTheStoreAreNotRequested)
{
    PlanFetchScheduler scheduler = makeScheduler();
    scheduler.recordPeerVersion("peer", 2, at(0));
    scheduler.setVersionInForce(2, 100);
    BOOST_TEST(!scheduler.nextRequestDue());
    BOOST_TEST(!scheduler.nextPieceRequest(at(1000)));
}

// Guards against starting over when a peer dies while it sends a document. The pieces received so far are kept, and another peer with the
// same version sends the rest.
BOOST_AUTO_TEST_CASE(anotherPeerResumesAnInterruptedTransfer)
{
    PlanFetchScheduler scheduler = makeScheduler();
    PlanSource source;
    source.set(2, document(2));
    scheduler.recordPeerVersion("a", 2, at(0));
    scheduler.recordPeerVersion("b", 2, at(0));
    const auto first = scheduler.nextPieceRequest(at(300));
    BOOST_REQUIRE(first);
    BOOST_TEST(!scheduler.recordPiece(first->peer, *source.piece(*first, at(300)), at(310)));
    const auto second = scheduler.nextPieceRequest(at(310));
    BOOST_REQUIRE(second);
    BOOST_TEST(second->peer == first->peer);
    scheduler.recordRequestFailure(second->peer, at(1200));
    auto request = scheduler.nextPieceRequest(at(1200));
    BOOST_REQUIRE(request);
    BOOST_TEST(request->peer != first->peer);
    BOOST_TEST(request->offset > 0U);
    std::optional<std::string> whole;
    while (!whole) {
        BOOST_REQUIRE(request);
        whole = scheduler.recordPiece(request->peer, *source.piece(*request, at(1200)), at(1200));
        request = scheduler.nextPieceRequest(at(1200));
    }
    BOOST_TEST((*whole == document(2)));
}

// Guards against a router that falls further and further behind when changes follow each other faster than a document crosses the link.
// Each transfer that was started is completed, so the lag stays bounded.
BOOST_AUTO_TEST_CASE(frequentChangesDoNotStallTransfers)
{
    PlanFetchScheduler scheduler = makeScheduler();
    PlanSource source;
    std::uint64_t newest = 1;
    std::uint64_t inForce = 0;
    int worstLag = 0;
    for (int now = 0; now < 20'000; now += s_pieceMs) {
        if (now % 100 == 0) {
            ++newest;
            source.set(newest, document(newest));
            scheduler.recordPeerVersion("peer", newest, at(now));
        }
        const auto request = scheduler.nextPieceRequest(at(now));
        if (!request) {
            continue;
        }
        const auto piece = source.piece({.peer = "me",
                                         .newerThan = request->newerThan,
                                         .version = request->version,
                                         .offset = request->offset,
                                         .maxBytes = request->maxBytes},
                                        at(now));
        BOOST_REQUIRE(piece);
        const auto whole = scheduler.recordPiece("peer", *piece, at(now));
        if (whole) {
            inForce = std::stoull(*whole);
            scheduler.setVersionInForce(inForce, whole->size());
        }
        if (now > 2000) {
            worstLag = std::max(worstLag, static_cast<int>(newest - inForce));
        }
    }
    // Four pieces and the wait for the store, 250 ms and 100 KB at 0.45 MB/s, take 0.7 s, which is seven changes. The next transfer starts
    // after that.
    BOOST_TEST(worstLag <= 14);
}

// Guards against documents assembled from pieces of different versions when answers are late, duplicated, sent by another peer or
// truncated. A returned document is always a complete one that some peer has.
BOOST_AUTO_TEST_CASE(onlyCompleteDocumentsAreReturned)
{
    const bool holds = rc::check("whole documents only", [] {
        PlanFetchScheduler scheduler = makeScheduler();
        std::vector<PlanSource> sources(3);
        int now = 300;
        const int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            now += *rc::gen::inRange(0, 400);
            const auto index = static_cast<std::size_t>(*rc::gen::inRange(0, 3));
            const std::string peer = absl::StrCat("peer-", index);
            const int kind = *rc::gen::inRange(0, 6);
            if (kind == 0) {
                const auto version = static_cast<std::uint64_t>(*rc::gen::inRange(1, 6));
                sources[index].set(version, document(version));
                scheduler.recordPeerVersion(peer, version, at(now));
                continue;
            }
            if (kind == 1) {
                scheduler.recordRequestFailure(peer, at(now));
                continue;
            }
            std::optional<PlanFetchScheduler::PieceRequest> request = scheduler.nextPieceRequest(at(now));
            if (!request) {
                continue;
            }
            if (kind == 2) {
                // An answer to an outdated request.
                request->offset = static_cast<std::uint64_t>(*rc::gen::inRange(0, 100'000));
            }
            const std::string askedPeer = request->peer;
            request->peer = "me";
            const std::optional<PlanPiece> piece = sources[static_cast<std::size_t>(askedPeer.back() - '0')].piece(*request, at(now));
            if (!piece) {
                scheduler.recordRequestFailure(askedPeer, at(now));
                continue;
            }
            const std::optional<std::string> whole = scheduler.recordPiece(askedPeer, *piece, at(now));
            if (whole) {
                const std::uint64_t version = std::stoull(*whole);
                RC_ASSERT(*whole == document(version));
                scheduler.setVersionInForce(version, whole->size());
            }
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
