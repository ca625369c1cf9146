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

constexpr Duration s_releaseRetryInterval = std::chrono::seconds(2);
constexpr int s_maxReleaseAttempts = 300;
constexpr std::int64_t s_claimRetryAfterMs = 2'000;

absl::Status unavailable()
{
    return toStatus({.kind = FailureKind::ClaimUnavailable,
                     .detail = "the table that keeps requests from running twice is out of reach",
                     .retryAfterMs = s_claimRetryAfterMs});
}

}

/// A write and the timer that its coroutine waits on. Shared by the coroutine and the queue.
struct ClaimService::QueuedWrite {
    explicit QueuedWrite(const asio::any_io_executor &executor)
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

asio::awaitable<absl::StatusOr<ClaimResult>> ClaimService::submitWrite(Claim claim, std::optional<std::uint64_t> version, bool remove)
{
    auto queued = std::make_shared<QueuedWrite>(co_await asio::this_coro::executor);
    queued->claim = std::move(claim);
    queued->version = version;
    queued->remove = remove;
    bool startSending = false;
    {
        const std::lock_guard lock(m_mutex);
        m_queue.push_back(queued);
        startSending = !std::exchange(m_sending, true);
    }
    // Not under the lock: when spawned from its own loop, a coroutine runs at once up to its first wait, and takes the lock itself.
    if (startSending) {
        asio::co_spawn(m_loop, send(), asio::detached);
    }
    co_await queued->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return queued->result;
}

asio::awaitable<void> ClaimService::send()
{
    while (true) {
        std::vector<std::shared_ptr<QueuedWrite>> writes;
        {
            const std::lock_guard lock(m_mutex);
            while (!m_queue.empty() && writes.size() < m_options.maxBatchSize) {
                writes.push_back(m_queue.front());
                m_queue.pop_front();
            }
            m_sending = !writes.empty();
        }
        if (writes.empty()) {
            co_return;
        }
        ClaimBatch batch;
        for (const auto &write : writes) {
            batch.add(write->claim, write->version, write->remove);
        }
        int tableErrors = 0;
        while (!batch.done() && tableErrors < m_options.maxTableErrors) {
            const TableTransaction transaction = batch.transaction();
            const auto verdict = co_await m_platform.transact(transaction);
            if (verdict.ok()) {
                batch.applyVerdict(*verdict);
            } else {
                ++tableErrors;
            }
        }
        for (std::size_t index = 0; index < writes.size(); ++index) {
            if (batch.result(index)) {
                writes[index]->result = *batch.result(index);
            }
            asio::post(writes[index]->timer.get_executor(), [write = writes[index]] {
                write->timer.cancel();
            });
        }
    }
}

asio::awaitable<absl::StatusOr<ClaimResult>> ClaimService::take(Claim claim)
{
    auto result = co_await submitWrite(claim, std::nullopt, false);
    if (!result.ok()) {
        // A write may have taken effect although its answer was lost. The request does not run, so the claim must not block its retry.
        asio::co_spawn(m_loop, releaseInBackground(claim), asio::detached);
    }
    co_return result;
}

asio::awaitable<void> ClaimService::releaseInBackground(Claim claim)
{
    asio::steady_timer timer(m_loop);
    for (int attempt = 0; attempt < s_maxReleaseAttempts; ++attempt) {
        timer.expires_after(s_releaseRetryInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        const auto row = co_await m_platform.readOne(claim.key);
        if (!row.ok()) {
            continue;
        }
        if (row->version == 0 || claimFromRow(*row).requestId != claim.requestId) {
            co_return;
        }
        const auto removed = co_await submitWrite(claim, row->version, true);
        if (removed.ok()) {
            co_return;
        }
    }
}

asio::awaitable<absl::Status> ClaimService::finish(Claim claim, std::string body)
{
    if (!claim.resultObject.empty()) {
        // The platform client runs on its own loop; a call from the request's loop would use its connections from two threads.
        auto storing = m_platform.putObject(claim.resultObject, std::move(body));
        const absl::Status stored = co_await asio::co_spawn(m_loop, std::move(storing), asio::use_awaitable);
        if (!stored.ok()) {
            co_return stored;
        }
    }
    const std::uint64_t version = claim.version;
    const auto written = co_await submitWrite(std::move(claim), version, false);
    co_return written.status();
}

asio::awaitable<void> ClaimService::release(Claim claim)
{
    const std::uint64_t version = claim.version;
    const auto removed = co_await submitWrite(claim, version, true);
    if (!removed.ok()) {
        asio::co_spawn(m_loop, releaseInBackground(claim), asio::detached);
    }
}

asio::awaitable<absl::StatusOr<std::string>> ClaimService::result(std::string object)
{
    auto reading = m_platform.readObject(std::move(object));
    auto body = co_await asio::co_spawn(m_loop, std::move(reading), asio::use_awaitable);
    co_return body;
}

}
