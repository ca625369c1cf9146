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

// Guards against a field of an unexpected size or content that ends the process, or that the peer reads as several fields.
BOOST_AUTO_TEST_CASE(fieldsThatCannotBeSentFailTheCall)
{
    WorkerPool pool(1);
    ScriptedPeer peer(pool, {{.bytes = completeResponse(200, "", "{}")}});
    HttpClient client(pool.mainLoop().get_executor(), *endpointFrom(peer.address()));
    const auto callWith = [&](const HttpHeader &header) {
        absl::StatusOr<HttpReply> reply;
        asio::co_spawn(pool.mainLoop(), client.call({.headers = {header}}), [&](const std::exception_ptr &problem, auto got) {
            BOOST_TEST(!problem);
            reply = std::move(got);
            pool.stop();
        });
        pool.run();
        pool.mainLoop().restart();
        return reply;
    };
    const std::string longText(70'000, '4');
    for (const HttpHeader &header : std::vector<HttpHeader>{{.name = "X", .value = longText},
                                                            {.name = longText, .value = "1"},
                                                            {.name = "", .value = "1"},
                                                            {.name = "X Y", .value = "1"},
                                                            {.name = "X:", .value = "1"},
                                                            {.name = "X", .value = "1\r\nY: 2"},
                                                            {.name = "X", .value = std::string(1, '\0')}}) {
        const absl::StatusOr<HttpReply> reply = callWith(header);
        BOOST_REQUIRE(!reply.ok());
        BOOST_TEST((toFailure(reply.status()).executed == Executed::No));
    }
    BOOST_TEST(peer.requests().empty());
    BOOST_TEST(callWith({.name = "X", .value = "a\tb \x80"}).ok());
}

BOOST_AUTO_TEST_SUITE_END()
