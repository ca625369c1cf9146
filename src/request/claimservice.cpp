#include "request/claimservice.h"

#include "failure/failure.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bamboohold {

namespace {

constexpr Duration s_giveUpPause = std::chrono::seconds(2);
constexpr int s_giveUpTries = 300;
constexpr std::int64_t s_retryClaimMs = 2'000;

absl::Status unavailable()
{
    return toStatus({.kind = FailureKind::ClaimUnavailable,
                     .detail = "the table that keeps requests from running twice is out of reach",
                     .retryAfterMs = s_retryClaimMs});
}

}

/// One wish and who waits for it. Shared by its coroutine and the queue.
struct ClaimService::Wish {
    explicit Wish(const asio::any_io_executor &executor)
        : timer(executor, asio::steady_timer::time_point::max())
    {
    }

    Claim claim;
    std::optional<std::uint64_t> version;
    bool remove = false;
    asio::steady_timer timer;
    absl::StatusOr<ClaimResult> result = unavailable();
};

ClaimService::ClaimService(asio::any_io_executor loop, PlatformClient &platform, Options options)
    : m_loop(std::move(loop))
    , m_platform(platform)
    , m_options(options)
{
}

asio::awaitable<absl::StatusOr<ClaimResult>> ClaimService::wish(Claim claim, std::optional<std::uint64_t> version, bool remove)
{
    auto own = std::make_shared<Wish>(co_await asio::this_coro::executor);
    own->claim = std::move(claim);
    own->version = version;
    own->remove = remove;
    bool startSending = false;
    {
        const std::lock_guard lock(m_mutex);
        m_waiting.push_back(own);
        startSending = !std::exchange(m_sending, true);
    }
    // Outside the lock: on its own loop a new coroutine runs at once, up to its first wait, and takes the lock itself.
    if (startSending) {
        asio::co_spawn(m_loop, send(), asio::detached);
    }
    co_await own->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return own->result;
}

asio::awaitable<void> ClaimService::send()
{
    while (true) {
        std::vector<std::shared_ptr<Wish>> wishes;
        {
            const std::lock_guard lock(m_mutex);
            while (!m_waiting.empty() && wishes.size() < m_options.batch) {
                wishes.push_back(m_waiting.front());
                m_waiting.pop_front();
            }
            m_sending = !wishes.empty();
        }
        if (wishes.empty()) {
            co_return;
        }
        ClaimBatch batch;
        for (const auto &wish : wishes) {
            batch.add(wish->claim, wish->version, wish->remove);
        }
        int silences = 0;
        while (!batch.done() && silences < m_options.tries) {
            const TableTransaction transaction = batch.transaction();
            const auto verdict = co_await m_platform.transact(transaction);
            if (verdict.ok()) {
                batch.answered(*verdict);
            } else {
                ++silences;
            }
        }
        for (std::size_t index = 0; index < wishes.size(); ++index) {
            if (batch.result(index)) {
                wishes[index]->result = *batch.result(index);
            }
            asio::post(wishes[index]->timer.get_executor(), [wish = wishes[index]] {
                wish->timer.cancel();
            });
        }
    }
}

asio::awaitable<absl::StatusOr<ClaimResult>> ClaimService::take(Claim claim)
{
    auto result = co_await wish(claim, std::nullopt, false);
    if (!result.ok()) {
        // A try may have taken effect unseen. The request does not run, so the claim must not keep its retry from running.
        asio::co_spawn(m_loop, giveUpLater(claim), asio::detached);
    }
    co_return result;
}

asio::awaitable<void> ClaimService::giveUpLater(Claim claim)
{
    asio::steady_timer timer(m_loop);
    for (int attempt = 0; attempt < s_giveUpTries; ++attempt) {
        timer.expires_after(s_giveUpPause);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        const auto row = co_await m_platform.readOne(claim.key);
        if (!row.ok()) {
            continue;
        }
        if (row->version == 0 || claimFromRow(*row).requestId != claim.requestId) {
            co_return;
        }
        const auto removed = co_await wish(claim, row->version, true);
        if (removed.ok()) {
            co_return;
        }
    }
}

asio::awaitable<absl::Status> ClaimService::finish(Claim claim, std::string body)
{
    if (!claim.resultObject.empty()) {
        // The platform's client lives on its own loop; a call from the request's loop would use its connections from two threads.
        auto storing = m_platform.putObject(claim.resultObject, std::move(body));
        const absl::Status stored = co_await asio::co_spawn(m_loop, std::move(storing), asio::use_awaitable);
        if (!stored.ok()) {
            co_return stored;
        }
    }
    const std::uint64_t version = claim.version;
    const auto written = co_await wish(std::move(claim), version, false);
    co_return written.status();
}

asio::awaitable<void> ClaimService::release(Claim claim)
{
    const std::uint64_t version = claim.version;
    const auto removed = co_await wish(claim, version, true);
    if (!removed.ok()) {
        asio::co_spawn(m_loop, giveUpLater(claim), asio::detached);
    }
}

asio::awaitable<absl::StatusOr<std::string>> ClaimService::result(std::string object)
{
    auto reading = m_platform.readObject(std::move(object));
    auto body = co_await asio::co_spawn(m_loop, std::move(reading), asio::use_awaitable);
    co_return body;
}

}
