#pragma once

#include "quarantine/quarantinekeeper.h"

#include "tests/sharedrows.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <string>
#include <utility>

/// Routers that share a quarantine through a store in memory.
namespace bamboohold::quarantinefleet {

inline FingerprintPair pair(const std::string &body)
{
    return fingerprintsOf({.team = "team", .body = body});
}

inline RequestFingerprint request(const std::string &body)
{
    return pair(body).front();
}

inline RowAddress addressOf(std::string key)
{
    return {.table = "quarantine", .part = "", .key = std::move(key)};
}

/// Number of rows of the quarantine in the store.
inline std::size_t rowCount(const SharedRows &rows)
{
    return rows.rows.read("quarantine", "", rows.now).rows.size();
}

/// The parts of one router that take part in the quarantine.
template<RowStore Store>
struct BasicRouter {
    explicit BasicRouter(Store &rows)
        : guard(loop.get_executor(), metrics)
        , keeper(rows, guard)
    {
    }

    void synchronise()
    {
        boost::asio::co_spawn(
            loop,
            [this]() -> boost::asio::awaitable<void> {
                (void)co_await keeper.synchronise();
            },
            boost::asio::detached);
        loop.run();
        loop.restart();
    }

    /// Three targets crash while the request is in flight.
    void crashThreeTargets(const RequestFingerprint &fingerprint)
    {
        for (std::uint64_t target = 1; target <= 3; ++target) {
            guard.handleCrashReport({.target = target, .inFlight = {fingerprint}});
        }
    }

    boost::asio::io_context loop;
    Metrics metrics;
    PoisonGuard guard;
    QuarantineKeeper<Store> keeper;
};

using Router = BasicRouter<SharedRows>;

}
