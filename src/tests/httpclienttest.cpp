#include "net/httpclient.h"
#include "net/endpoint.h"
#include "scriptedpeer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/test/unit_test.hpp>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(HttpClientTest)

// Guards against sending a request whose caller disconnected before the call was made.
BOOST_AUTO_TEST_CASE(unwantedRequestIsNotSent)
{
    WorkerPool pool(1);
    ScriptedPeer peer(pool, {{.bytes = completeResponse(200, "", "{}")}});
    HttpClient client(pool.mainLoop().get_executor(), *endpointFrom(peer.address()));
    const auto callWith = [&](bool stillWanted) {
        HttpStreamCall call(client, {.stillWanted = [stillWanted] {
                                return stillWanted;
                            }});
        absl::Status started;
        asio::co_spawn(pool.mainLoop(), call.start(), [&](const std::exception_ptr &, absl::Status status) {
            started = std::move(status);
            pool.stop();
        });
        pool.run();
        pool.mainLoop().restart();
        return started;
    };
    const absl::Status unwanted = callWith(false);
    BOOST_TEST(!unwanted.ok());
    BOOST_TEST((toFailure(unwanted).kind == FailureKind::Cancelled));
    BOOST_TEST((toFailure(unwanted).executed == Executed::No));
    BOOST_TEST(callWith(true).ok());
    BOOST_TEST(peer.requests().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
