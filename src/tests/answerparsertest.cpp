#include "net/answerparser.h"
#include "net/parserfeed.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/beast/http/error.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

using namespace bamboohold;
namespace http = boost::beast::http;

namespace {

/// How the connection stands when its end is reached.
struct End {
    bool closes = true;
    SendState request = SendState::Sent;
};

/// What was read of an answer.
struct Reading {
    bool complete = false;
    boost::system::error_code error;
    unsigned status = 0;
    std::string body;
    http::fields fields;
    AnswerFraming framing = AnswerFraming::Length;
};

/// Parses all that has arrived. Returns need_more if more is needed.
boost::system::error_code parse(AnswerParser &parser, ParserFeed &feed, boost::beast::flat_buffer &arrived, std::string &body)
{
    boost::system::error_code error;
    std::size_t parsed = 0;
    while (!parser.is_done() && !error && (arrived.size() > 0 || !parser.got_some())) {
        error = feed.feed(parser, arrived, parsed);
        body += parser.takeBody();
        if (error == http::error::need_buffer) {
            error = {};
        }
    }
    return error;
}

/// Reads one answer from bytes that arrive in parts of these sizes, over and over, and then the end.
Reading read(const std::string &bytes, End end = {}, const std::vector<int> &parts = {1 << 20}, AnswerParser::Options options = {})
{
    Reading reading;
    SendState request = SendState::Sending;
    AnswerParser parser(request, options);
    ParserFeed feed;
    boost::beast::flat_buffer arrived;
    std::size_t at = 0;
    for (std::size_t part = 0; at < bytes.size() && !parser.is_done() && !reading.error; ++part) {
        const std::size_t size = std::min<std::size_t>(parts[part % parts.size()], bytes.size() - at);
        arrived.commit(boost::asio::buffer_copy(arrived.prepare(size), boost::asio::buffer(bytes.substr(at, size))));
        at += size;
        reading.error = parse(parser, feed, arrived, reading.body);
        if (reading.error == http::error::need_more) {
            reading.error = {};
        }
    }
    request = end.request;
    if (end.closes && !reading.error && !parser.is_done() && parser.got_some()) {
        parser.put_eof(reading.error);
    }
    reading.complete = parser.is_done() && !reading.error;
    reading.status = parser.status();
    reading.fields = parser.fields();
    if (parser.is_header_done()) {
        reading.framing = parser.framing();
    }
    return reading;
}

std::string chunked(const std::string &body, const std::string &trailers = "")
{
    const std::string data = body.empty() ? std::string() : absl::StrCat(absl::Hex(body.size()), "\r\n", body, "\r\n");
    return absl::StrCat(data, "0\r\n", trailers, "\r\n");
}

std::string answer(const std::string &statusLine, const std::string &fields, const std::string &rest)
{
    return absl::StrCat(statusLine, "\r\n", fields, "\r\n", rest);
}

const std::string s_ok = "HTTP/1.1 200 OK";

/// Fields about the framing that are no valid framing of an answer, or one that cannot be undone here.
std::vector<std::string> invalidFramings()
{
    return {"Transfer-Encoding: gzip\r\n",
            "Transfer-Encoding: gzip, chunked\r\n",
            "Transfer-Encoding: chunked, gzip\r\n",
            "Transfer-Encoding: chunked, chunked\r\n",
            "Transfer-Encoding: identity\r\n",
            "Transfer-Encoding: identity, chunked\r\n",
            "Transfer-Encoding: xchunked\r\n",
            "Transfer-Encoding: chunked;q=1\r\n",
            "Transfer-Encoding: \"chunked\"\r\n",
            "Transfer-Encoding:\r\n",
            "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
            "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
            "Content-Length: 4\r\nTransfer-Encoding: gzip\r\n",
            "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n",
            "Content-Length: 4\r\nContent-Length: 5\r\n",
            "Content-Length: 4, 5\r\n",
            "Content-Length: -4\r\n",
            "Content-Length: +4\r\n",
            "Content-Length: 0x4\r\n",
            "Content-Length: 4 4\r\n",
            "Content-Length: 4;\r\n",
            "Content-Length: four\r\n",
            "Content-Length:\r\n",
            "Content-Length: 18446744073709551616\r\n",
            "Content-Length: 99999999999999999999999\r\n"};
}

/// Lines that are no field.
std::vector<std::string> invalidFields()
{
    using namespace std::string_literals;
    return {"X y: z\r\n"s,  "X\x01y: z\r\n"s, "X\0y: z\r\n"s,  "X\x7fy: z\r\n"s, "X\xe4y: z\r\n"s,    "X : z\r\n"s,     "X\t: z\r\n"s,
            ": z\r\n"s,     "Xyz\r\n"s,       "X: a\0b\r\n"s,  "X: a\x01z\r\n"s, "X: a\x7fz\r\n"s,    "X: a\rb\r\n"s,   "X: a\r\r\n"s,
            "X(y): z\r\n"s, "X@y: z\r\n"s,    "\"X\": z\r\n"s, "X[0]: z\r\n"s,   "X: a\x1b[0mz\r\n"s, "X\x0by: z\r\n"s, "X,y: z\r\n"s};
}

std::vector<std::string> invalidStatusLines()
{
    return {"HTTP/1.1 000 OK", "HTTP/1.1 001 OK",     "HTTP/1.1 099 OK",    "HTTP/1.1 101 Switching Protocols",
            "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",     "HTTP/1.1 20 OK",     "HTTP/1.1 2000 OK",
            "HTTP/1.1 -20 OK", "HTTP/1.1 2x0 OK",     "HTTP/1.1 OK",        "HTTP/1.1  200 OK",
            "HTTP/1.2 200 OK", "HTTP/2.0 200 OK",     "HTTP/0.9 200 OK",    "HTTP/11 200 OK",
            "http/1.1 200 OK", "HTTPS/1.1 200 OK",    "ICY 200 OK",         " HTTP/1.1 200 OK",
            "200 OK",          "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\x7fK"};
}

/// An answer as it was meant, drawn.
struct Drawn {
    std::string bytes;
    std::size_t headSize = 0;
    std::string body;
    AnswerFraming framing = AnswerFraming::Length;
};

Drawn drawAnswer()
{
    Drawn drawn;
    const unsigned status = *rc::gen::element(200U, 201U, 299U, 302U, 400U, 404U, 429U, 500U, 503U, 599U);
    drawn.framing = *rc::gen::element(AnswerFraming::Length, AnswerFraming::Chunks, AnswerFraming::Connection);
    const std::string version = drawn.framing == AnswerFraming::Chunks ? "1.1" : *rc::gen::element<std::string>("1.1", "1.0");
    drawn.body = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    std::vector<std::string> fields = *rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
        "X-A: b\r\n", "Response: \x80\xff\r\n", "X:\r\n", "X-Tab: a\tb\r\n", "Connection: close\r\n", "x!#$%&'*+-.^_`|~1: v\r\n"));
    std::string rest = drawn.body;
    switch (drawn.framing) {
    case AnswerFraming::Length:
        fields.push_back(*rc::gen::element(absl::StrCat("Content-Length: ", drawn.body.size(), "\r\n"),
                                           absl::StrCat("content-length:", drawn.body.size(), "\r\n"),
                                           absl::StrCat("Content-Length: ", drawn.body.size(), ", ", drawn.body.size(), "\r\n")));
        break;
    case AnswerFraming::Chunks:
        fields.push_back(*rc::gen::element<std::string>("Transfer-Encoding: chunked\r\n", "transfer-encoding:  CHUNKED \r\n"));
        rest = chunked(drawn.body, *rc::gen::element<std::string>("", "X-Trailer: t\r\n", "X-A: other\r\nX-B: c\r\n"));
        break;
    case AnswerFraming::Connection:
        break;
    }
    std::rotate(fields.begin(), fields.begin() + *rc::gen::inRange<int>(0, static_cast<int>(fields.size()) + 1), fields.end());
    std::string head = absl::StrCat("HTTP/", version, " ", status, *rc::gen::element<std::string>(" OK", " ", " Not at all"), "\r\n");
    for (const std::string &field : fields) {
        head += field;
    }
    head += "\r\n";
    drawn.headSize = head.size();
    drawn.bytes = head + rest;
    return drawn;
}

std::vector<int> drawParts()
{
    return *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 40)));
}

SendState drawSendState()
{
    return *rc::gen::element(SendState::Sending, SendState::Sent, SendState::Failed);
}

}

BOOST_AUTO_TEST_SUITE(AnswerParserTest)

// Guards against an answer that is taken for complete before its end, or after a reset, and against a complete one that is given up.
BOOST_AUTO_TEST_CASE(drawnAnswersAreCompleteAtTheirEndOnly)
{
    const bool passed = rc::check("complete at its end, with its body", [] {
        const Drawn drawn = drawAnswer();
        const std::size_t cut =
            *rc::gen::oneOf(rc::gen::just(drawn.bytes.size()), rc::gen::inRange<std::size_t>(0, drawn.bytes.size() + 1));
        const End end{.closes = *rc::gen::arbitrary<bool>(), .request = drawSendState()};
        const AnswerParser::Options options{.maxPartBytes = *rc::gen::element<std::size_t>(1, 7, 16 * 1024)};
        const Reading reading = read(drawn.bytes.substr(0, cut), end, drawParts(), options);
        const bool byConnection = drawn.framing == AnswerFraming::Connection;
        const bool whole = byConnection ? cut >= drawn.headSize && end.closes && end.request == SendState::Sent : cut == drawn.bytes.size();
        RC_ASSERT(reading.complete == whole);
        if (whole) {
            RC_ASSERT(reading.body == drawn.body.substr(0, byConnection ? cut - drawn.headSize : std::string::npos));
            RC_ASSERT(reading.framing == drawn.framing);
            RC_ASSERT(reading.fields.count("X-Trailer") == 0U);
        }
    });
    BOOST_TEST(passed);
}

// Guards against bytes that are no HTTP answer and that a caller gets as one.
BOOST_AUTO_TEST_CASE(drawnHeadsWithOneFaultAreNoAnswers)
{
    const bool passed = rc::check("a head with a fault", [] {
        const std::string statusLine = *rc::gen::element<std::string>("HTTP/1.1 200 OK", "HTTP/1.1 404 Not Found", "HTTP/1.0 500 Oh");
        std::vector<std::string> fields = *rc::gen::container<std::vector<std::string>>(
            rc::gen::element<std::string>("X-A: b\r\n", "Response: \x80\xff\r\n", "Keep-Alive: timeout=4\r\n"));
        std::string line = statusLine;
        const int kind = *rc::gen::inRange(0, 3);
        if (kind == 0) {
            line = *rc::gen::elementOf(invalidStatusLines());
        } else {
            fields.push_back(*rc::gen::elementOf(kind == 1 ? invalidFields() : invalidFramings()));
            std::rotate(fields.begin(), fields.begin() + *rc::gen::inRange<int>(0, static_cast<int>(fields.size())), fields.end());
        }
        std::string head;
        for (const std::string &field : fields) {
            head += field;
        }
        const std::string rest = *rc::gen::element<std::string>("", "body", chunked("body"));
        const Reading reading = read(answer(line, head, rest), {}, drawParts());
        RC_ASSERT(!reading.complete);
    });
    BOOST_TEST(passed);
}

// Guards against a status outside 100 to 599 that a caller gets, and against one that is taken for an interim answer.
BOOST_AUTO_TEST_CASE(statusesOutsideTheRangeAreNoAnswers)
{
    for (int status = 0; status < 1000; ++status) {
        const std::string digits = absl::StrCat(status < 100 ? "0" : "", status < 10 ? "0" : "", status);
        const Reading reading = read(answer("HTTP/1.1 " + digits + " X", "Content-Length: 0\r\n", ""));
        const bool valid = status >= 100 && status <= 599 && status != 101;
        BOOST_TEST(reading.complete == valid, digits);
        BOOST_TEST((valid || reading.error == http::error::bad_status), digits);
    }
}

// Guards against a body that is not the sender's, because it was framed or coded in a way that is not undone here.
BOOST_AUTO_TEST_CASE(invalidFramingsAreNoAnswers)
{
    for (const std::string &framing : invalidFramings()) {
        for (const std::string &rest : {std::string(), std::string("body"), chunked("body")}) {
            BOOST_TEST(!read(answer(s_ok, framing, rest)).complete, framing << rest);
        }
    }
    // Before HTTP/1.1 there were no transfer codings.
    BOOST_TEST(!read(answer("HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n", chunked("body"))).complete);
    for (const char *status : {"HTTP/1.1 100 Continue", "HTTP/1.1 103 Early Hints", "HTTP/1.1 204 No Content"}) {
        BOOST_TEST(read(answer(status, "", "")).complete, status);
        BOOST_TEST(read(answer(status, "Content-Length: 0\r\n", "")).complete, status);
        BOOST_TEST(!read(answer(status, "Content-Length: 4\r\n", "body")).complete, status);
        BOOST_TEST(!read(answer(status, "Transfer-Encoding: chunked\r\n", chunked("body"))).complete, status);
    }
    // The length of the body that a GET request would have got.
    BOOST_TEST(read(answer("HTTP/1.1 304 Not Modified", "Content-Length: 4\r\n", "")).complete);
    BOOST_TEST(read(answer(s_ok, "Content-Length: 4\r\n", ""), {}, {9}, {.withoutBody = true}).complete);
}

BOOST_AUTO_TEST_CASE(invalidHeadsAreNoAnswers)
{
    for (const std::string &line : invalidStatusLines()) {
        BOOST_TEST(!read(answer(line, "Content-Length: 4\r\n", "body")).complete, line);
    }
    for (const std::string &field : invalidFields()) {
        BOOST_TEST(!read(answer(s_ok, field + "Content-Length: 4\r\n", "body")).complete, field);
        BOOST_TEST(!read(answer(s_ok, "Content-Length: 4\r\n" + field, "body")).complete, field);
    }
    // A line that continues the one before it is joined with it by a space.
    const Reading folded = read(answer(s_ok, "X-A: b\r\n c\r\nContent-Length: 4\r\n", "body"));
    BOOST_TEST(folded.complete);
    BOOST_TEST(folded.fields["X-A"] == "b c");
}

// Guards against chunks whose sizes are no numbers, or that do not end where they say.
BOOST_AUTO_TEST_CASE(invalidChunksAreNoAnswers)
{
    for (const char *chunks : {"4\r\nbody",
                               "4\r\nbody\r\n",
                               "4\r\nbody\r\n0\r\n",
                               "4\r\nbodies\r\n0\r\n\r\n",
                               "5\r\nbody\r\n0\r\n\r\n",
                               "-4\r\nbody\r\n0\r\n\r\n",
                               "0x4\r\nbody\r\n0\r\n\r\n",
                               "g\r\nbody\r\n0\r\n\r\n",
                               "\r\nbody\r\n0\r\n\r\n",
                               "4 4\r\nbody\r\n0\r\n\r\n",
                               "10000000000000004\r\nbody\r\n0\r\n\r\n",
                               "4\nbody\n0\n\n",
                               "4\r\nbody\r\n0\r\nX y: z\r\n\r\n",
                               "4\r\nbody\r\n0\r\nX\x01: z\r\n\r\n"}) {
        BOOST_TEST(!read(answer(s_ok, "Transfer-Encoding: chunked\r\n", chunks)).complete, chunks);
    }
    BOOST_TEST(read(answer(s_ok, "Transfer-Encoding: chunked\r\n", "4;a=b;c=\"d\"\r\nbody\r\n000\r\n\r\n")).body == "body");
}

// Guards against a reset during the request that the write has seen, so that the read takes it for the end of the answer; and against an
// answer with an end of its own that is given up because of it.
BOOST_AUTO_TEST_CASE(onlyAnAnswerThatEndsWithItsConnectionDependsOnTheRequest)
{
    for (const SendState request : {SendState::Sending, SendState::Sent, SendState::Failed}) {
        const bool sent = request == SendState::Sent;
        BOOST_TEST(read(answer(s_ok, "", "body"), {.request = request}).complete == sent);
        BOOST_TEST(read(answer("HTTP/1.0 500 Oh", "", ""), {.request = request}).complete == sent);
        BOOST_TEST(read(answer(s_ok, "Content-Length: 4\r\n", "body"), {.request = request}).complete);
        BOOST_TEST(read(answer(s_ok, "Transfer-Encoding: chunked\r\n", chunked("body")), {.request = request}).complete);
        BOOST_TEST(!read(answer(s_ok, "Content-Length: 5\r\n", "body"), {.request = request}).complete);
        BOOST_TEST(!read(answer(s_ok, "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n"), {.request = request}).complete);
    }
}

// Guards against bytes that end the process, however they arrive: an empty body in chunks that comes byte by byte did.
BOOST_AUTO_TEST_CASE(noBytesEndTheProcess)
{
    const std::string head = answer(s_ok, "Transfer-Encoding: chunked\r\n", "");
    BOOST_TEST(read(head + "0\r\n\r\n", {}, {1}).complete);
    const bool passed = rc::check("bytes are an answer, or none", [&head] {
        const auto piece = rc::gen::element<std::string>(
            "0", "1", "3", "a", "\r\n", "\r", "\n", ";", "x", "=", "\"", ": ", " ", "X: y\r\n", "0\r\n", "\r\n\r\n");
        std::string rest;
        for (const std::string &text : *rc::gen::container<std::vector<std::string>>(piece)) {
            rest += text;
        }
        const std::vector<int> parts = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 4)));
        const std::string first = *rc::gen::element<std::string>("", head, head + "3\r\nabc\r\n");
        read(first + rest, {}, parts);
    });
    BOOST_TEST(passed);
}

// Guards against a trailer that overwrites what the head says, and against one whose size makes the parser throw.
BOOST_AUTO_TEST_CASE(trailersAreDropped)
{
    for (const std::size_t size : {1U, 65'532U, 65'533U, 65'534U, 70'000U, 120'000U}) {
        for (const std::string &trailer : {absl::StrCat("X-A: ", std::string(size, 'a')), absl::StrCat(std::string(size, 'X'), ": a")}) {
            const std::string head = "X-A: head\r\nTransfer-Encoding: chunked\r\n";
            const Reading reading = read(answer(s_ok, head, chunked("body", trailer + "\r\n")));
            BOOST_TEST(reading.complete);
            BOOST_TEST(reading.body == "body");
            BOOST_TEST(reading.fields["X-A"] == "head");
            BOOST_TEST(std::distance(reading.fields.begin(), reading.fields.end()) == 2);
        }
    }
}

// Guards against a head without end, and against chunk extensions without end.
BOOST_AUTO_TEST_CASE(framingIsBounded)
{
    constexpr int many = 100'000;
    BOOST_TEST((read(absl::StrCat(s_ok, "\r\nX-A: ", std::string(many, 'a'))).error == http::error::header_limit));
    BOOST_TEST((read(absl::StrCat("HTTP/1.1 200 ", std::string(many, 'a'))).error == http::error::header_limit));
    std::string chunks;
    for (int chunk = 0; chunk < many / 1000; ++chunk) {
        absl::StrAppend(&chunks, "1;", std::string(1000, 'x'), "\r\n:\r\n");
    }
    BOOST_TEST((read(answer(s_ok, "Transfer-Encoding: chunked\r\n", chunks)).error == http::error::bad_chunk_extension));
}

BOOST_AUTO_TEST_CASE(framingsHaveNames)
{
    BOOST_TEST(framingName(AnswerFraming::Length) == "length");
    BOOST_TEST(framingName(AnswerFraming::Chunks) == "chunks");
    BOOST_TEST(framingName(AnswerFraming::Connection) == "connection");
}

BOOST_AUTO_TEST_SUITE_END()
