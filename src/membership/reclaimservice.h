#pragma once

#include "link/linkhub.h"
#include "membership/reclamation.h"
#include "store/platformclient.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace bamboohold {

/// Runs Reclamation for one suspected router at a time.
///
/// Locking: m_mutex guards the reclamation in progress and is never held across a suspension point.
class ReclaimService
{
public:
    struct Options {
        std::string reclaimer;
        Duration probeTimeout = std::chrono::seconds(1);
        Duration sealInterval = std::chrono::milliseconds(500);
        /// Maximum time for all sidecars to answer before the next suspect is handled, so that one suspect with unreachable sidecars does
        /// not delay the others.
        Duration sealTimeout = std::chrono::seconds(10);
    };

    ReclaimService(PlatformClient &platform, Options options);

    /// Sets the link to send on. Must be called before the first reclamation.
    void setLink(LinkHub *link);

    /// Recovers the grants of a suspect. Returns once its row is closed, it turned out to be alive, another router has taken over, or
    /// sidecars did not answer in time.
    asio::awaitable<void> reclaim(TableRow suspect, std::vector<std::string> targets);

    /// Handles the answer of a sidecar to a probe or a seal.
    void onSealAnswer(const wire::SealAnswer &answer);

    /// Number of reclamations that ended with a closed row.
    std::uint64_t reclaimedCount() const
    {
        return m_reclaimedCount;
    }

private:
    void sendSeals();
    Reclamation::Phase phase();
    std::int64_t missingSidecarCount();
    asio::awaitable<void> declareDead();
    asio::awaitable<bool> closeIncarnation();
    asio::awaitable<bool> readBilledRequests(std::string ledger, std::uint64_t earliestFlush);
    asio::awaitable<absl::StatusOr<TableTransactionResult>> transactWithRetries(TableTransaction transaction);
    void sendSettledRuns();

    PlatformClient &m_platform;
    Options m_options;
    LinkHub *m_link = nullptr;
    std::mutex m_mutex;
    std::unique_ptr<Reclamation> m_current;
    std::string m_incarnation;
    std::atomic<std::uint64_t> m_reclaimedCount = 0;
};

}
