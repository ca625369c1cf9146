#pragma once

#include "budget/budgetservice.h"
#include "link/linkhub.h"
#include "request/requestcourse.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// Reservations that one router makes for another's requests while the table is out of reach.
///
/// No token changes hands: the run is paid, billed and, if need be, recovered as the sponsor's own, so a sponsored request adds no fact
/// that a recovery would have to find. The sidecar tells the sponsor how the run ended, and so does the router that asked; the first word
/// counts. A sponsor that hears from neither charges the worst case once the run is certainly over.
///
/// Lock: m_mutex guards the requests asked for and sponsored; nothing else is locked under it.
class Sponsorship
{
public:
    struct Options {
        /// Time a peer has to answer.
        Duration answerTimeout = std::chrono::milliseconds(500);
        /// Time that the ends of a run have to arrive after it is over.
        Duration endReportGrace = std::chrono::seconds(60);
    };

    /// A request that needs a sponsor.
    struct UnfundedRequest {
        std::string requestId;
        std::string budget;
        std::string team;
        Tokens bound = 0;
        Duration endsWithin{};
    };

    /// A peer that reserved.
    struct Sponsor {
        std::string payer;
        std::uint64_t earliestFlush = 0;
    };

    using PeerSource = std::function<std::vector<std::string>()>;

    Sponsorship(asio::any_io_executor loop, BudgetService &budgets, PeerSource peers, Options options);

    /// The link to send on; set before the first request.
    void setLink(LinkHub *link);

    /// Asks peers one after the other; empty when none can.
    asio::awaitable<std::optional<Sponsor>> findSponsor(UnfundedRequest unfunded);

    /// The router that asked tells the payer how the request ended, where it knows.
    void reportEnd(std::string_view payer, std::string_view requestId, const RequestCourse &course);

    void onRequest(std::string_view peer, const wire::SponsorRequest &request);
    void onAnswer(std::string_view peer, const wire::SponsorAnswer &answer);
    void onEnd(const wire::SponsoredEnd &end);

    /// Charges the worst case of runs that nobody reported. Runs for as long as the process.
    asio::awaitable<void> settleOverdueRuns();

private:
    struct PendingQuery;

    struct SponsoredRun {
        std::string budget;
        std::string team;
        Tokens bound = 0;
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
