#pragma once

#include "request/claimbatch.h"
#include "store/platformclient.h"

#include <absl/status/statusor.h>

#include <deque>
#include <memory>
#include <mutex>
#include <string>

namespace bamboohold {

/// Writes claims to the table, in batches, and answers to the object store.
///
/// Locking: m_mutex guards m_queue and m_sending.
class ClaimService
{
public:
    struct Options {
        /// Most claims in one transaction.
        std::size_t maxBatchSize = 64;
        /// After this many failed transactions, the remaining claims of a batch fail with ClaimUnavailable.
        int maxTableErrors = 2;
    };

    /// `loop` is the event loop of `platform`.
    ClaimService(asio::any_io_executor loop, PlatformClient &platform, Options options);

    /// Takes a claim. ClaimUnavailable when the table cannot be reached; the claim is then released in the background, so that a retry of
    /// the request can run later.
    asio::awaitable<absl::StatusOr<ClaimResult>> take(Claim claim);

    /// Stores the answer of a claimed request, and writes its outcome over the claim's version. Errors are those of the object store, or
    /// ClaimUnavailable.
    asio::awaitable<absl::Status> finish(Claim claim, std::string body);

    /// Removes a claim whose request is known not to have run.
    asio::awaitable<void> release(Claim claim);

    /// Reads the answer stored for a claim.
    asio::awaitable<absl::StatusOr<std::string>> result(std::string object);

private:
    struct QueuedWrite;

    /// Queues a write, and waits for its result.
    asio::awaitable<absl::StatusOr<ClaimResult>> submitWrite(Claim claim, std::optional<std::uint64_t> version, bool remove);
    /// Removes a claim that may have been written, unless another request holds it by now. Retries while the table cannot be reached, for
    /// at least ten minutes.
    asio::awaitable<void> releaseInBackground(Claim claim);
    /// Sends queued writes until the queue is empty.
    asio::awaitable<void> send();

    asio::any_io_executor m_loop;
    PlatformClient &m_platform;
    Options m_options;
    std::mutex m_mutex;
    std::deque<std::shared_ptr<QueuedWrite>> m_queue;
    bool m_sending = false;
};

}
