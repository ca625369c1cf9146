#pragma once

#include "budget/nodeledger.h"
#include "engine/runtable.h"
#include "membership/reclamation.h"
#include "store/memorytable.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bamboohold {

/// What happens to a transaction on its way to the table and back.
enum class Delivery {
    Answered,
    RequestLost,
    AnswerLost,
    /// Lost at first, and applied in a later step.
    Delayed,
};

/// Routers, sidecars, engines and the table in one process, driven step by step: the real decision classes with minimal fakes around them.
/// It records the true token counts of the engines, so that the invariants compare the ledger with what really ran.
class FakeFleet
{
public:
    struct Options {
        std::size_t routers = 3;
        std::size_t targets = 2;
        std::vector<Tokens> prepaid = {5000, 800};
        AccountPolicy policy;
    };

    explicit FakeFleet(Options options);

    /// Submits a request that reserves `bound` tokens and really uses `actualTokens`, at most the bound.
    void submitRequest(std::size_t router, std::size_t budget, Tokens bound, Tokens actualTokens, std::size_t target);
    /// Submits a request at one router that is paid from another router's grant.
    void submitSponsoredRequest(
        std::size_t receiver, std::size_t payer, std::size_t budget, Tokens bound, Tokens actualTokens, std::size_t target);
    /// Ends one of the runs in progress. If `reported` is false, the engine reports no token counts.
    void finishRun(std::size_t index, bool reported);
    void flush(std::size_t router, Delivery delivery);
    /// Applies the oldest delayed transaction.
    void deliverDelayed();
    void topUp(std::size_t budget, Tokens amount);
    void recall(std::size_t router, std::size_t budget);
    /// Kills a router and starts its successor.
    void kill(std::size_t router);
    /// Pauses a router. Until resume() it does not act, and run ends sent to it are queued.
    void pause(std::size_t router);
    void resume(std::size_t router);
    /// Kills a target's sidecar and starts its successor, which knows nothing of the runs.
    void replaceSidecar(std::size_t target);
    /// Cuts a sidecar off from reclaimers, or reconnects it.
    void setSidecarCut(std::size_t target, bool cut);
    /// Performs the next step of recovering a silent router; `reclaimer` is the router that does the work.
    void reclaimStep(std::size_t reclaimer, Delivery delivery);
    void advanceTime(Duration duration);

    /// Ends all runs, delivers all messages and recovers all dead routers.
    void runToCompletion();

    /// Returns a description of the first invariant that is violated, or an empty string.
    std::string invariantViolation() const;

    /// Call after runToCompletion(). Returns a description of the first run that was never billed or was billed less than it used, or an
    /// empty string. Runs whose router's grants are still held count as billed.
    std::string billingViolation() const;

    Tokens consumed(std::size_t budget) const;
    Tokens free(std::size_t budget) const;
    std::size_t admitted() const
    {
        return m_admitted;
    }
    std::size_t runs() const
    {
        return m_runs.size();
    }
    std::size_t closedIncarnations() const;

private:
    enum class RouterState {
        Running,
        Paused,
        Dead,
    };

    struct SubmittedRequest {
        std::string requestId;
        std::string budget;
        Tokens bound = 0;
        Tokens actualTokens = 0;
        std::size_t target = 0;
    };

    struct RouterProcess {
        std::string incarnation;
        std::unique_ptr<NodeLedger> ledger;
        RouterState state = RouterState::Running;
        /// Run ends that were sent to it while it was paused.
        std::deque<std::pair<Charge, Tokens>> inbox;
        std::map<std::string, SubmittedRequest> waiting;
    };

    struct Run {
        std::string requestId;
        std::string router;
        std::string budget;
        std::size_t target = 0;
        std::string sidecar;
        Tokens bound = 0;
        Tokens actualTokens = 0;
        bool running = true;
        bool sidecarLost = false;
    };

    struct Sidecar {
        std::string incarnation;
        std::unique_ptr<RunTable> table;
        bool cut = false;
    };

    std::vector<TableRow> rowsWithPrefix(std::string_view prefix) const;
    std::string budgetName(std::size_t budget) const;
    std::string targetName(std::size_t target) const;
    void startRouter(std::size_t slot);
    void startSidecar(std::size_t target);
    RouterProcess *findRouter(const std::string &incarnation);
    void dispatch(RouterProcess &receiver, RouterProcess &payer, const SubmittedRequest &submitted);
    void processResults(RouterProcess &router);
    void deliverRunEnd(const Run &run, Tokens charged, bool reported);
    void settleCharge(RouterProcess &router, const Charge &charge, Tokens charged);
    absl::StatusOr<TableTransactionResult> send(const TableTransaction &transaction, Delivery delivery);
    void querySidecars();
    void closeStep(Delivery delivery);
    std::map<std::string, BudgetRow, std::less<>> readRows(const std::vector<std::string> &budgets);
    std::vector<Charge> ledgerCharges() const;

    Options m_options;
    MemoryTable m_table;
    std::vector<RouterProcess> m_routers;
    std::vector<RouterProcess> m_killedRouters;
    std::vector<Sidecar> m_sidecars;
    std::vector<Run> m_runs;
    std::deque<TableTransaction> m_delayed;
    std::unique_ptr<Reclamation> m_reclamation;
    std::string m_reclaimedIncarnation;
    int m_sealingSteps = 0;
    std::map<std::string, Tokens> m_prepaid;
    Instant m_now{};
    std::size_t m_nextId = 0;
    std::size_t m_admitted = 0;
};

}
