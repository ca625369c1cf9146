#include "net/endpoint.h"
#include "net/httpclient.h"
#include "tests/gatewayfixture.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/test/unit_test.hpp>

using namespace bamboohold;

namespace {

const std::string s_headers = "X-Id: r1\r\nX-Seal: s\r\n";
const std::string s_length = "Content-Length: 6\r\n";
const std::vector<std::string> s_paths{"/once/", "/again/", "/stream/", "/resume/"};

std::string answerWith(const std::string &statusLine, const std::string &fields, const std::string &rest = "answer")
{
    return absl::StrCat(statusLine, "\r\n", s_headers, fields, "\r\n", rest);
}

/// What a router tells a caller whose target sends these bytes, and then closes the connection in order.
std::string toldAfter(const std::string &bytes, const std::string &path)
{
    return GatewayFixture({{{.bytes = bytes, .ending = PeerEnding::Close}}}).exchange(request(path));
}

/// Checks that callers get none of these bytes, on any kind of route, and that a call of the fleet's own fails.
void checkIsNotPassedOn(const std::string &bytes)
{
    for (const std::string &path : s_paths) {
        const std::string told = toldAfter(bytes, path);
        BOOST_TEST(told.starts_with("HTTP/1.1 502 "), path << bytes << told.substr(0, 200));
        BOOST_TEST(!contains(told, "X-Seal"));
    }
    WorkerPool pool(1);
    ScriptedPeer peer(pool, {{.bytes = bytes, .ending = PeerEnding::Close}});
    HttpClient client(pool.mainLoop().get_executor(), *endpointFrom(peer.address()));
    std::optional<absl::StatusOr<HttpReply>> reply;
    asio::co_spawn(pool.mainLoop(), client.call({}), [&](const std::exception_ptr &, absl::StatusOr<HttpReply> got) {
        reply = std::move(got);
        pool.stop();
    });
    pool.mainLoop().run_for(std::chrono::seconds(5));
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(!reply->ok(), bytes);
}

}

BOOST_AUTO_TEST_SUITE(InvalidAnswerTest)

// Guards against an answer with a status that HTTP doesn't have, and against a sound answer behind one that is taken for an interim one.
BOOST_AUTO_TEST_CASE(invalidStatusesAreNotPassedOn)
{
    for (const char *status : {"000", "001", "099", "101", "600", "777", "999"}) {
        const std::string line = absl::StrCat("HTTP/1.1 ", status, " X");
        checkIsNotPassedOn(answerWith(line, s_length));
        checkIsNotPassedOn(answerWith(line, "Content-Length: 0\r\n", sealedResponse().bytes));
        checkIsNotPassedOn(answerWith(line, "", sealedResponse().bytes));
    }
}

BOOST_AUTO_TEST_CASE(validStatusesArePassedOn)
{
    for (const int status : {200, 204, 299, 304, 404, 599}) {
        const std::string told = toldAfter(answerWith(absl::StrCat("HTTP/1.1 ", status, " X"), "Content-Length: 0\r\n", ""), "/once/");
        BOOST_TEST(told.starts_with(absl::StrCat("HTTP/1.1 ", status, " ")), told);
    }
    const std::string interim = answerWith("HTTP/1.1 100 Continue", "", "") + answerWith("HTTP/1.1 103 Early Hints", "", "");
    BOOST_TEST(toldAfter(interim + sealedResponse().bytes, "/once/").ends_with("answer"));
}

// Guards against lines that are no fields and that a caller gets, or that hide the end of the body.
BOOST_AUTO_TEST_CASE(invalidFieldsAreNotPassedOn)
{
    using namespace std::string_literals;
    for (const std::string &line :
         {"X y: z"s, "X\x01y: z"s, "X\0y: z"s, "X\x7fy: z"s, "X\xe4: z"s, "X : z"s, ": z"s, "X"s, "X: a\0b"s, "X: a\x01z"s, "X: a\rb"s}) {
        checkIsNotPassedOn(answerWith("HTTP/1.1 200 OK", line + "\r\n" + s_length));
        checkIsNotPassedOn(answerWith("HTTP/1.1 200 OK", s_length + line + "\r\n"));
    }
}

// Guards against a body that is not the target's, because its framing is one that HTTP forbids, or a coding that nobody here undoes.
BOOST_AUTO_TEST_CASE(invalidFramingsAreNotPassedOn)
{
    const std::string ok = "HTTP/1.1 200 OK";
    const std::string chunks = chunk("id: 1\ndata: x\n\n") + chunk("");
    for (const char *framing : {"Transfer-Encoding: gzip",
                                "Transfer-Encoding: gzip, chunked",
                                "Transfer-Encoding: chunked, gzip",
                                "Transfer-Encoding: chunked, chunked",
                                "Transfer-Encoding: identity",
                                "Transfer-Encoding: xchunked",
                                "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
                                "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
                                "Transfer-Encoding: chunked\r\nContent-Length: 6",
                                "Content-Length: 6\r\nTransfer-Encoding: gzip",
                                "Transfer-Encoding: gzip\r\nContent-Length: 6",
                                "Content-Length: 6\r\nContent-Length: 7",
                                "Content-Length: 6, 7",
                                "Content-Length: -6",
                                "Content-Length: 6x",
                                "Content-Length: ",
                                "Content-Length: 18446744073709551622"}) {
        checkIsNotPassedOn(answerWith(ok, absl::StrCat(framing, "\r\n")));
        checkIsNotPassedOn(answerWith(ok, absl::StrCat(framing, "\r\n"), chunks));
    }
    checkIsNotPassedOn(answerWith("HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n", chunks));
    checkIsNotPassedOn(answerWith("HTTP/1.1 204 No Content", "Transfer-Encoding: chunked\r\n", chunks));
    checkIsNotPassedOn(answerWith("HTTP/1.1 204 No Content", s_length));
    checkIsNotPassedOn(answerWith("HTTP/1.1 103 Early Hints", s_length, sealedResponse().bytes));
    checkIsNotPassedOn(answerWith("HTTP/1.1 103 Early Hints", "Transfer-Encoding: chunked\r\n", sealedResponse().bytes));
}

// Guards against a valid framing that is taken for an invalid one.
BOOST_AUTO_TEST_CASE(validFramingsArePassedOn)
{
    for (const char *framing : {"Content-Length: 6", "Content-Length: 6, 6", "content-length:6 ", ""}) {
        const std::string fields = *framing == '\0' ? std::string() : absl::StrCat(framing, "\r\n");
        BOOST_TEST(toldAfter(answerWith("HTTP/1.1 200 OK", fields), "/once/").ends_with("answer"), framing);
        BOOST_TEST(toldAfter(answerWith("HTTP/1.0 200 OK", fields), "/once/").ends_with("answer"), framing);
    }
    for (const char *coding : {"chunked", "Chunked", " CHUNKED "}) {
        const std::string bytes =
            answerWith("HTTP/1.1 200 OK", absl::StrCat("Transfer-Encoding:", coding, "\r\n"), chunk("answer") + chunk(""));
        BOOST_TEST(toldAfter(bytes, "/once/").ends_with("answer"), coding);
    }
}

BOOST_AUTO_TEST_SUITE_END()
