#include "gateway/gatewaydaemon.h"
#include "ownaddress.h"
#include "tests/gatewayfixture.h"
#include "tests/sharedrows.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>
#include <optional>
#include <string>
#include <thread>

using namespace bamboohold;

namespace {

constexpr std::uint16_t s_callerPort = 17640;
constexpr std::uint16_t s_readinessPort = 17641;
constexpr std::uint16_t s_linkPort = 17642;
constexpr Duration s_pollInterval = std::chrono::milliseconds(2);

/// A store whose answers take as long as those of a store on the network. It never reports a change.
struct RemoteRows {
    asio::awaitable<absl::StatusOr<RowTransactionResult>> transact(const RowTransaction &transaction)
    {
        co_await pause(silent ? s_never : s_responseTime);
        const absl::StatusOr<RowTransactionResult> result = co_await rows.transact(transaction);
        co_return result;
    }

    asio::awaitable<absl::StatusOr<RowsSnapshot>> read(const std::string &table, const std::string &part)
    {
        co_await pause(s_responseTime);
        const absl::StatusOr<RowsSnapshot> result = co_await rows.read(table, part);
        co_return result;
    }

    asio::awaitable<absl::StatusOr<RowsFeed>> follow(const std::string &, std::uint64_t version, Duration wait)
    {
        co_await pause(wait);
        co_return RowsFeed{.version = version};
    }

    static constexpr Duration s_responseTime = std::chrono::milliseconds(4);
    static constexpr Duration s_never = std::chrono::hours(1);

    SharedRows rows;
    /// Whether transactions get no answer.
    bool silent = false;
};

using Daemon = GatewayDaemon<RemoteRows>;

RoutingPlan::Content planContent()
{
    return {.version = 5,
            .routes = {{.name = "once",
                        .host = "app.example",
                        .prefix = "/once/",
                        .services = {{.service = "service"}},
                        .timeout = std::chrono::seconds(1)},
                       {.name = "long", .host = "app.example", .prefix = "/long/", .services = {{.service = "service"}}}},
            .services = {{.name = "service"}}};
}

Daemon::Options daemonOptions(Duration gracePeriod)
{
    Daemon::Options options;
    options.gracePeriod = gracePeriod;
    options.callers = {.address = ownAddress(), .port = s_callerPort};
    options.readiness = {.address = ownAddress(), .port = s_readinessPort};
    options.link = {.address = ownAddress(), .port = s_linkPort};
    options.incarnation = "router~1";
    options.gateway.codec = testCodec();
    options.planTable = "plan";
    options.planKey = "newest";
    options.targetTable = "targets";
    options.decodePlan = [](const StoredRow &) {
        return planContent();
    };
    options.decodeTarget = [](const StoredRow &row) {
        return TargetListing{.incarnation = row.address.key, .service = "service", .address = row.value};
    };
    return options;
}

/// A router that answers its first request. Its target never answers a later one, so the router answers it itself after the route's
/// timeout. The callers have an event loop of their own.
class DrainingRouter
{
public:
    explicit DrainingRouter(Duration gracePeriod)
        : m_pool(1)
        , m_target(m_pool, {sealedResponse(), {.ending = PeerEnding::Silent}})
    {
        m_store.rows.put({.table = "plan", .key = "newest"}, "plan");
        m_store.rows.put({.table = "targets", .key = "target-1"}, m_target.address());
        m_daemon.emplace(m_pool, m_store, daemonOptions(gracePeriod));
        BOOST_REQUIRE(m_daemon->open().ok());
        m_thread = std::thread([this] {
            m_pool.run();
            m_daemon->closeLink();
            m_pool.discardPendingWork();
            m_stopped = true;
        });
    }

    ~DrainingRouter()
    {
        m_pool.stop();
        m_thread.join();
    }

    DrainingRouter(const DrainingRouter &) = delete;
    DrainingRouter &operator=(const DrainingRouter &) = delete;

    /// Stops the process gracefully, as SIGTERM does.
    void drain()
    {
        asio::post(m_pool.mainLoop(), [this] {
            m_daemon->drain();
        });
    }

    /// Makes the store silent for transactions from now on.
    void silenceStore()
    {
        asio::post(m_pool.mainLoop(), [this] {
            m_store.silent = true;
        });
    }

    /// Waits for the process to stop, for a time that is far longer than its grace period. Returns whether it has stopped.
    bool waitUntilStopped() const
    {
        const Instant limit = steadyNow() + std::chrono::seconds(20);
        while (!m_stopped && steadyNow() < limit) {
            std::this_thread::sleep_for(s_pollInterval);
        }
        return m_stopped;
    }

    /// Opens a connection; none when the router does not listen any more.
    std::optional<asio::ip::tcp::socket> connect()
    {
        asio::ip::tcp::socket socket(m_callers);
        boost::system::error_code error;
        socket.connect({asio::ip::make_address(ownAddress()), s_callerPort}, error);
        return error ? std::nullopt : std::optional(std::move(socket));
    }

    /// Returns once the router does not accept connections any more.
    void waitUntilRefusing()
    {
        while (connect()) {
            std::this_thread::sleep_for(s_pollInterval);
        }
    }

    /// Returns once the router has its plan and its target.
    void waitUntilServing()
    {
        std::string answer;
        while (!answer.starts_with("HTTP/1.1 200 ")) {
            asio::ip::tcp::socket socket = *connect();
            asio::write(socket, asio::buffer(request("/once/")));
            answer = readAll(socket);
        }
    }

    /// Returns once the target has received this many requests.
    void waitUntilTargetHasRequests(std::size_t count)
    {
        std::size_t received = 0;
        while (received < count) {
            std::this_thread::sleep_for(s_pollInterval);
            std::promise<std::size_t> answer;
            asio::post(m_pool.mainLoop(), [this, &answer] {
                answer.set_value(m_target.requests().size());
            });
            received = answer.get_future().get();
        }
    }

    /// Reads until the router closes the connection or stops.
    std::string readAll(asio::ip::tcp::socket &socket)
    {
        std::string answer;
        bool closed = false;
        asio::async_read(socket, asio::dynamic_buffer(answer), [&closed](const boost::system::error_code &, std::size_t) {
            closed = true;
        });
        while (!closed) {
            m_callers.restart();
            m_callers.run_for(s_pollInterval);
            if (m_stopped) {
                socket.cancel();
            }
        }
        return answer;
    }

private:
    WorkerPool m_pool;
    RemoteRows m_store;
    ScriptedPeer m_target;
    std::optional<Daemon> m_daemon;
    std::thread m_thread;
    std::atomic<bool> m_stopped = false;
    asio::io_context m_callers;
};

}

BOOST_AUTO_TEST_SUITE(GatewayDrainTest)

// Guards against a router that stops while a request that it has begun to read is neither answered nor refused.
BOOST_AUTO_TEST_CASE(requestBegunBeforeTheListenerClosesIsAnswered)
{
    DrainingRouter router(std::chrono::seconds(8));
    router.waitUntilServing();
    asio::ip::tcp::socket caller = *router.connect();
    const std::string whole = request("/once/");
    const std::size_t half = whole.size() / 2;
    asio::write(caller, asio::buffer(whole.substr(0, half)));
    router.drain();
    router.waitUntilRefusing();
    boost::system::error_code error;
    asio::write(caller, asio::buffer(whole.substr(half)), error);
    BOOST_TEST(router.readAll(caller).starts_with("HTTP/1.1 "));
}

// Guards against a crash at the end of the process when a request is still in flight then.
BOOST_AUTO_TEST_CASE(requestCutAtTheDeadlineDoesNotOutliveTheRouter)
{
    DrainingRouter router(std::chrono::milliseconds(700));
    router.waitUntilServing();
    asio::ip::tcp::socket caller = *router.connect();
    asio::write(caller, asio::buffer(request("/long/")));
    router.waitUntilTargetHasRequests(2);
    router.drain();
    BOOST_TEST(router.readAll(caller).empty());
}

// Guards against a router that is killed because it waits for a store that does not answer.
BOOST_AUTO_TEST_CASE(aSilentStoreDoesNotDelayTheStop)
{
    DrainingRouter router(std::chrono::milliseconds(700));
    router.waitUntilServing();
    router.silenceStore();
    router.drain();
    BOOST_TEST(router.waitUntilStopped());
}

BOOST_AUTO_TEST_SUITE_END()
