#pragma once

#include "budget/ledgerpage.h"
#include "engine/runtable.h"
#include "store/table.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// The answer of a sidecar about a router incarnation.
struct SidecarAnswer {
    std::string target;
    std::uint64_t epoch = 0;
    SealResult verdict;
};

/// A transaction that closes some grants of a dead incarnation, and the ledger page that must be stored before the transaction is sent.
struct ClosingStep {
    std::string objectKey;
    std::string object;
    TableTransaction transaction;
};

/// Recovers the grants of one dead router incarnation, from the suspicion until its row is closed.
///
/// The order of the steps makes this safe. First, no sidecar that answers may have heard from the incarnation recently. Then its row in the
/// table is changed from live to sealing, conditional on the exact version of the row, which fences off flushes of the incarnation. Then
/// every sidecar is told to run nothing more for it and reports what it ran. Only after all of them have answered, with nothing still
/// running, is it known what the incarnation spent, and the rest is returned to the budgets. If a target cannot answer, the grants stay
/// held: they are counted as spent and never granted twice. If a reclaimer dies before the end, any router can take over.
///
/// Free of side effects: the caller sends what each step requires and passes in the answers.
class Reclamation
{
public:
    /// Progress of the recovery.
    enum class Phase {
        Probing,
        Declaring,
        Sealing,
        Closing,
        Closed,
        /// The incarnation is alive, or another router recovers it.
        Abandoned,
    };

    struct Options {
        std::string incarnation;
        /// The incarnation of the router that performs the recovery.
        std::string reclaimer;
        /// All targets that the incarnation may have used.
        std::vector<std::string> targets;
        /// Maximum number of grants closed by one transaction.
        std::size_t grantsPerStep = 24;
    };

    /// Starts from the incarnation's row as just read.
    Reclamation(Options options, TableRow nodeRow);

    Phase phase() const
    {
        return m_phase;
    }

    /// The epoch to send in seals; 0 while probing.
    std::uint64_t epoch() const;

    /// Targets whose sidecars have not answered yet.
    std::vector<std::string> missingTargets() const;

    /// Records the answer of a sidecar.
    void onSidecarAnswer(const SidecarAnswer &answer);

    /// Ends the probing: the recovery continues if at least one sidecar answered and none has heard from the incarnation.
    void probeEnded();

    /// While Declaring: the transaction that marks the row as sealing.
    TableTransaction declaration() const;

    /// Records the table's answer to the declaration.
    void onDeclared(const TableTransactionResult &verdict);

    /// Number of the earliest flush whose ledger page may contain charges of the reported runs.
    std::uint64_t earliestFlush() const;

    /// While Closing: set the requests that the incarnation itself has billed since earliestFlush(), and its grant rows as just read.
    void setBilledRequests(absl::flat_hash_set<std::string> billed);
    void setGrants(std::vector<TableRow> grants);

    /// While Closing: the next step; the last one marks the row as closed.
    ClosingStep nextClosingStep() const;

    /// Records the table's answer to a closing step.
    void onClosed(const ClosingStep &step, const TableTransactionResult &verdict);

    /// Requests whose runs the reclamation has billed or found billed, by target. Their sidecars can drop the records of them.
    std::map<std::string, std::vector<std::string>> settledRuns() const;

private:
    struct ReportedRun {
        std::string target;
        RunRecord record;
    };

    std::vector<Charge> chargesFor(std::string_view budget) const;
    std::vector<Charge> zeroTokenCharges() const;
    boost::json::object nodeFields(std::string_view state, const std::string &ledger) const;

    Options m_options;
    Phase m_phase = Phase::Probing;
    TableRow m_nodeRow;
    std::uint64_t m_epoch = 0;
    std::map<std::string, SealResult> m_answers;
    std::vector<ReportedRun> m_runs;
    absl::flat_hash_set<std::string> m_billedRequests;
    std::vector<TableRow> m_grants;
    int m_step = 0;
};

}
