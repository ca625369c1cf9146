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

/// Drives Reclamation for one suspect at a time.
///
/// Lock: m_mutex guards the reclamation under way; it is never held across a wait.
class ReclaimService
{
public:
    struct Options {
        std::string reclaimer;
        Duration probeTime = std::chrono::seconds(1);
        Duration sealInterval = std::chrono::milliseconds(500);
        /// Time for all sidecars to answer before the next suspect gets its turn. One whose witnesses are missing must not keep the others
        /// waiting.
        Duration sealPatience = std::chrono::seconds(10);
    };

    ReclaimService(PlatformClient &platform, Options options);

    /// The link to send on; set before the first reclamation.
    void setLink(LinkHub *link);

    /// Recovers what a suspect held; returns when it is closed, alive after all, or taken over by another router.
    asio::awaitable<void> reclaim(TableRow suspect, std::vector<std::string> targets);

    /// A sidecar answered a probe or a seal.
    void onSealAnswer(const wire::SealAnswer &answer);

    /// Reclamations that came to their end.
    std::uint64_t closed() const
    {
        return m_closed;
    }

private:
    void sendSeals();
    Reclamation::Phase phase();
    std::int64_t missingWitnesses();
    asio::awaitable<void> declare();
    asio::awaitable<bool> close();
    asio::awaitable<bool> readBilled(std::string ledger, std::uint64_t earliestFlush);
    asio::awaitable<absl::StatusOr<TableTransactionResult>> transactSurely(TableTransaction transaction);
    void tellSidecars();

    PlatformClient &m_platform;
    Options m_options;
    LinkHub *m_link = nullptr;
    std::mutex m_mutex;
    std::unique_ptr<Reclamation> m_current;
    std::string m_incarnation;
    std::atomic<std::uint64_t> m_closed = 0;
};

}
