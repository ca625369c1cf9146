#pragma once

#include "request/claimbatch.h"
#include "store/platformclient.h"

#include <absl/status/statusor.h>

#include <deque>
#include <memory>
#include <mutex>
#include <string>

namespace bamboohold {

/// Carries claims to the table in groups, and answers to the object store.
///
/// Lock: m_mutex guards the wishes not yet sent.
class ClaimService
{
public:
    struct Options {
        /// Claims in one transaction.
        std::size_t maxBatchSize = 64;
        /// Tries before a claim counts as out of reach.
        int maxTableErrors = 2;
    };

    ClaimService(asio::any_io_executor loop, PlatformClient &platform, Options options);

    /// Takes a claim. ClaimUnavailable when the table cannot be reached; it is then given up in the background, so that a later retry can
    /// run.
    asio::awaitable<absl::StatusOr<ClaimResult>> take(Claim claim);

    /// Writes how a claimed request ended, with its answer, over the claim's version.
    asio::awaitable<absl::Status> finish(Claim claim, std::string body);

    /// Gives a claim up: its request certainly did not run.
    asio::awaitable<void> release(Claim claim);

    /// The answer kept for a claim.
    asio::awaitable<absl::StatusOr<std::string>> result(std::string object);

private:
    struct QueuedWrite;

    asio::awaitable<absl::StatusOr<ClaimResult>> submitWrite(Claim claim, std::optional<std::uint64_t> version, bool remove);
    asio::awaitable<void> releaseInBackground(Claim claim);
    asio::awaitable<void> send();

    asio::any_io_executor m_loop;
    PlatformClient &m_platform;
    Options m_options;
    std::mutex m_mutex;
    std::deque<std::shared_ptr<QueuedWrite>> m_queue;
    bool m_sending = false;
};

}
