#include "operations/logoutput.h"

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>

using namespace bamboohold;

namespace {

/// A pipe that is read only on request.
struct Pipe {
    Pipe()
    {
        std::array<int, 2> ends{};
        BOOST_REQUIRE(::pipe(ends.data()) == 0);
        reader = ends[0];
        writer = ends[1];
    }

    ~Pipe()
    {
        ::close(reader);
        ::close(writer);
    }

    std::string read() const
    {
        ::fcntl(reader, F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 65536> buffer{};
        ssize_t size = 0;
        while ((size = ::read(reader, buffer.data(), buffer.size())) > 0) {
            text.append(buffer.data(), static_cast<std::size_t>(size));
        }
        return text;
    }

    int reader = -1;
    int writer = -1;
};

}

BOOST_AUTO_TEST_SUITE(LogOutputTest)

BOOST_AUTO_TEST_CASE(writesLines)
{
    const Pipe pipe;
    LogOutput output({.descriptor = pipe.writer});
    output.write("one");
    output.write("two");
    BOOST_TEST(pipe.read() == "one\ntwo\n");
}

// Guards against a stalled log reader blocking the process. When the reader resumes, it receives the buffered lines complete and in order,
// and a line with the number of dropped ones.
BOOST_AUTO_TEST_CASE(stalledReaderDoesNotBlockWriter)
{
    constexpr int s_lines = 20'000;
    const Pipe pipe;
    LogOutput output({.descriptor = pipe.writer, .maxPendingBytes = 16 * 1024});
    const std::string line(100, 'x');
    for (int count = 0; count < s_lines; ++count) {
        output.write(line);
    }
    BOOST_TEST(output.dropped() > 0U);
    const std::uint64_t dropped = output.dropped();
    std::string text = pipe.read();
    output.flush();
    text += pipe.read();
    output.write("back");
    text += pipe.read();
    BOOST_TEST(text.ends_with("{\"event\":\"log.dropped\",\"lines\":" + std::to_string(dropped) + "}\nback\n"));
    std::size_t at = 0;
    std::uint64_t whole = 0;
    for (std::size_t end = text.find('\n'); end != std::string::npos; end = text.find('\n', at)) {
        whole += text.substr(at, end - at) == line ? 1 : 0;
        at = end + 1;
    }
    BOOST_TEST(whole + dropped == static_cast<std::uint64_t>(s_lines));
}

BOOST_AUTO_TEST_SUITE_END()
