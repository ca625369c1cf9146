#pragma once

#include "budget/budgetservice.h"
#include "link/linkhub.h"
#include "request/requeststatemachine.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// Lets a router reserve tokens at a peer for its own requests while the table is unreachable.
///
/// No tokens are transferred: the run is paid, billed and, if necessary, recovered as the sponsor's own, so a recovery does not have to
/// know about the sponsorship. Both the sidecar and the router that asked tell the sponsor how the run ended; the first report counts. If
/// neither arrives, the sponsor charges the worst case once the run must be over.
///
/// Locking: m_mutex protects the pending queries and the sponsored runs. No other lock is taken while it is held.
class Sponsorship
{
public:
    struct Options {
        /// How long to wait for the answer of a peer.
        Duration answerTimeout = std::chrono::milliseconds(500);
        /// How long after the latest possible end of a run a report of its end may still arrive.
        Duration endReportGrace = std::chrono::seconds(60);
    };

    /// A request for which this router cannot reserve tokens itself.
    struct UnfundedRequest {
        std::string requestId;
        std::string budget;
        std::string team;
        Tokens bound = 0;
        /// Time after which a run of the request is certainly over.
        Duration endsWithin{};
    };

    /// A peer that has reserved tokens for a request.
    struct Sponsor {
        /// Incarnation whose grant pays.
        std::string payer;
        /// Number of the payer's earliest flush that can bill the request.
        std::uint64_t earliestFlush = 0;
    };

    /// Returns the peers to ask, in this order.
    using PeerSource = std::function<std::vector<std::string>()>;

    Sponsorship(asio::any_io_executor loop, BudgetService &budgets, PeerSource peers, Options options);

    /// Sets the link to send on. Must be called before the first request.
    void setLink(LinkHub *link);

    /// Asks peers one after the other to reserve tokens for the request. Empty if none of them does.
    asio::awaitable<std::optional<Sponsor>> findSponsor(UnfundedRequest unfunded);

    /// Reports to the payer how the request ended. Sends nothing if the request ran and its charge is not known here.
    void reportEnd(std::string_view payer, std::string_view requestId, const RequestStateMachine &stateMachine);

    /// Handle messages from the link. Answers that come too late and ends of unknown requests are ignored.
    void onRequest(std::string_view peer, const wire::SponsorRequest &request);
    void onAnswer(std::string_view peer, const wire::SponsorAnswer &answer);
    void onEnd(const wire::SponsoredEnd &end);

    /// Periodically charges the worst case of runs whose end nobody has reported. Never returns.
    asio::awaitable<void> settleOverdueRuns();

private:
    struct PendingQuery;

    struct SponsoredRun {
        std::string budget;
        std::string team;
        Tokens bound = 0;
        /// When the run is certainly over.
        Instant endsBy;
    };

    asio::awaitable<std::optional<Sponsor>> askPeer(std::string peer, UnfundedRequest unfunded);
    std::optional<SponsoredRun> takeSponsoredRun(const std::string &requestId);

    asio::any_io_executor m_loop;
    BudgetService &m_budgets;
    PeerSource m_peerSource;
    Options m_options;
    LinkHub *m_link = nullptr;
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<PendingQuery>> m_pendingQueries;
    std::map<std::string, SponsoredRun> m_sponsoredRuns;
};

}
