#include "store/platformclient.h"

#include "failure/failure.h"
#include "net/endpoint.h"
#include "tests/scriptedpeer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/test/unit_test.hpp>

using namespace bamboohold;

namespace {

absl::StatusOr<std::string> readObjectFrom(const PeerAction &answer)
{
    WorkerPool pool(1);
    const ScriptedPeer peer(pool, {answer});
    PlatformClient client(pool.mainLoop().get_executor(), *endpointFrom(peer.address()), std::chrono::seconds(2));
    absl::StatusOr<std::string> object;
    asio::co_spawn(pool.mainLoop(), client.readObject("o"), [&](const std::exception_ptr &, absl::StatusOr<std::string> read) {
        object = std::move(read);
        pool.stop();
    });
    pool.run();
    return object;
}

}

BOOST_AUTO_TEST_SUITE(PlatformClientTest)

// Guards against an object of which the platform sent only a part before it crashed, and that is taken for the whole.
BOOST_AUTO_TEST_CASE(objectWithoutALengthIsNotTrusted)
{
    for (const PeerEnding ending : {PeerEnding::Close, PeerEnding::Reset}) {
        const auto object = readObjectFrom({.bytes = "HTTP/1.1 200 OK\r\n\r\nhalf of it", .ending = ending});
        BOOST_REQUIRE(!object.ok());
        BOOST_TEST((toFailure(object.status()).kind == FailureKind::TableUnreachable));
    }
    BOOST_TEST(readObjectFrom({.bytes = completeResponse(200, "", "all of it")}).value() == "all of it");
}

BOOST_AUTO_TEST_SUITE_END()
