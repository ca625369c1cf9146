#include "membership/routerregistry.h"

#include "tests/sharedrows.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/make_shared.hpp>
#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace bamboohold;

namespace {

const std::string s_own = "10.0.0.1:7400";
const std::string s_peer = "10.0.0.2:7400";
const std::string s_other = "10.0.0.3:7400";

using Routers = std::vector<std::string>;

/// A store that returns from its copy when a read arrives.
struct ReturningRows : SharedRows {
    boost::asio::awaitable<absl::StatusOr<RowsSnapshot>> read(const std::string &table, const std::string &part)
    {
        if (std::exchange(returnBeforeRead, false)) {
            rows.returnToCopy();
        }
        co_return rows.read(table, part, now);
    }

    /// Writes the row of another router at the current time of the store, or removes it.
    void putRouter(const std::string &router, bool present = true)
    {
        put({.table = "routers", .part = "", .key = router}, present ? std::optional(std::to_string(now)) : std::nullopt);
    }

    bool contains(const std::string &router) const
    {
        const RowsSnapshot read = rows.read("routers", "", now);
        return std::ranges::any_of(read.rows, [&router](const StoredRow &row) {
            return row.address.key == router;
        });
    }

    bool returnBeforeRead = false;
};

/// The registry of one router, which counts when the test says so.
struct Counter {
    explicit Counter(ReturningRows &store, Duration interval = std::chrono::milliseconds(1))
        : registry(store,
                   {.router = s_own,
                    .onCounted =
                        [this](const Routers &routers) {
                            live = routers;
                            loop.stop();
                        },
                    .interval = interval})
    {
        boost::asio::co_spawn(loop, registry.run(false), boost::asio::detached);
        count();
        count();
    }

    const Routers &count()
    {
        loop.restart();
        loop.run();
        return live;
    }

    boost::asio::io_context loop;
    Routers live;
    RouterRegistry<ReturningRows> registry;
};

/// Collects the log lines of a test.
class LogCapture
{
public:
    LogCapture()
    {
        using Backend = boost::log::sinks::text_ostream_backend;
        const auto backend = boost::make_shared<Backend>();
        backend->add_stream(boost::shared_ptr<std::ostream>(&m_text, [](std::ostream *) {}));
        m_sink = boost::make_shared<boost::log::sinks::synchronous_sink<Backend>>(backend);
        boost::log::core::get()->add_sink(m_sink);
    }

    ~LogCapture()
    {
        boost::log::core::get()->remove_sink(m_sink);
    }

    LogCapture(const LogCapture &) = delete;
    LogCapture &operator=(const LogCapture &) = delete;

    std::size_t count(std::string_view event) const
    {
        const std::string text = m_text.str();
        std::size_t found = 0;
        for (std::size_t at = text.find(event); at != std::string::npos; at = text.find(event, at + 1)) {
            ++found;
        }
        return found;
    }

private:
    std::ostringstream m_text;
    boost::shared_ptr<boost::log::sinks::sink> m_sink;
};

}

BOOST_AUTO_TEST_SUITE(RegistryStoreReturnTest)

// Guards against larger shares of the common budgets at each router until all have written their rows again.
BOOST_AUTO_TEST_CASE(routersStayCountedUntilTheyHadTimeToWrite)
{
    ReturningRows store;
    store.putRouter(s_peer);
    store.putRouter(s_other);
    Counter counter(store);
    BOOST_REQUIRE((counter.count() == Routers{s_own, s_peer, s_other}));
    store.rows.returnToCopy();
    BOOST_TEST((counter.count() == Routers{s_own, s_peer, s_other}));
    store.now += 4'000;
    store.putRouter(s_peer);
    store.now += 5'000;
    BOOST_TEST((counter.count() == Routers{s_own, s_peer}));
}

// Guards against a router that is counted though it has deregistered since the return.
BOOST_AUTO_TEST_CASE(aRowRemovedInTheNewGenerationEndsTheCount)
{
    ReturningRows store;
    store.putRouter(s_peer);
    store.putRouter(s_other);
    Counter counter(store);
    store.rows.returnToCopy();
    store.putRouter(s_peer);
    BOOST_TEST((counter.count() == Routers{s_own, s_peer, s_other}));
    store.putRouter(s_peer, false);
    BOOST_TEST((counter.count() == Routers{s_own, s_other}));
}

// Guards against a router that has deregistered and is counted again because the copy has its row.
BOOST_AUTO_TEST_CASE(aDeregisteredRouterIsNotBroughtBack)
{
    ReturningRows store;
    store.putRouter(s_peer);
    store.put({.table = "routers", .part = "", .key = s_other}, "0");
    Counter counter(store);
    BOOST_REQUIRE((counter.count() == Routers{s_own, s_peer, s_other}));
    store.rows.makeCopy();
    store.now += 1'000;
    store.putRouter(s_peer, false);
    store.putRouter(s_other, false);
    BOOST_TEST((counter.count() == Routers{s_own}));
    store.rows.returnToCopy();
    BOOST_TEST((counter.count() == Routers{s_own}));
    BOOST_TEST((counter.count() == Routers{s_own}));
    store.now += 1'000;
    store.putRouter(s_peer);
    BOOST_TEST((counter.count() == Routers{s_own, s_peer}));
    store.now += 20'000;
    store.putRouter(s_peer);
    counter.count();
    BOOST_TEST((counter.count() == Routers{s_own, s_peer}));
}

// Guards against a late read of the earlier generation that restores an older count.
BOOST_AUTO_TEST_CASE(aReadOfAnEarlierGenerationIsNotCounted)
{
    ReturningRows store;
    Counter counter(store);
    store.rows.returnToCopy();
    store.putRouter(s_peer);
    BOOST_TEST((counter.count() == Routers{s_own, s_peer}));
    ReturningRows earlier;
    std::swap(store.rows, earlier.rows);
    counter.loop.restart();
    counter.loop.run_for(std::chrono::milliseconds(50));
    BOOST_TEST((counter.live == Routers{s_own, s_peer}));
}

// Guards against a row that is missing for an interval although a read has shown the new generation.
BOOST_AUTO_TEST_CASE(theRowIsWrittenAtOnce)
{
    ReturningRows store;
    Counter counter(store, std::chrono::milliseconds(300));
    store.returnBeforeRead = true;
    counter.count();
    counter.loop.restart();
    counter.loop.run_for(std::chrono::milliseconds(100));
    BOOST_TEST(store.contains(s_own));
}

// Guards against silence about corrupt rows of a returned store, whose versions are smaller.
BOOST_AUTO_TEST_CASE(corruptRowsAreLoggedAfterTheReturn)
{
    ReturningRows store;
    Counter counter(store);
    for (int write = 0; write < 100; ++write) {
        store.put({.table = "routers", .part = "", .key = "corrupt"}, "");
    }
    const LogCapture log;
    counter.count();
    BOOST_TEST(log.count("routers.row_unreadable") == 1U);
    store.rows.returnToCopy();
    store.put({.table = "routers", .part = "", .key = "corrupt"}, "");
    counter.count();
    counter.count();
    BOOST_TEST(log.count("routers.row_unreadable") == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
