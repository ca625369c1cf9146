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

/// A sidecar's answer about a router incarnation.
struct WitnessAnswer {
    std::string target;
    std::uint64_t epoch = 0;
    SealVerdict verdict;
};

/// A transaction that closes part of a dead incarnation's grants, and the ledger page that must be stored before it is sent.
struct ClosingStep {
    std::string objectKey;
    std::string object;
    TableTransaction transaction;
};

/// The recovery of what one dead router incarnation held: from the suspicion to the row that says closed.
///
/// The order makes it safe. First every sidecar that answers must agree that the incarnation is silent. Then the table's row is moved from
/// live to sealing over its exact version, which fences the holder's flushes. Then every sidecar is told to run nothing more for it and
/// says what it ran; only when all of them have answered, with nothing running, is it known what the holder spent, and the rest goes back
/// to the budgets. A target that cannot answer keeps the grants held: counted as spent, never granted twice. Any router can take over from
/// a reclaimer that dies on the way.
///
/// Pure: the driver sends what the steps ask for and feeds back answers.
class Reclamation
{
public:
    /// How far the recovery has come.
    enum class Phase {
        Probing,
        Declaring,
        Sealing,
        Closing,
        Closed,
        /// The incarnation lives, or another router is at work on it.
        Abandoned,
    };

    struct Options {
        std::string incarnation;
        /// The router that does the work.
        std::string reclaimer;
        /// All targets that the incarnation may have used.
        std::vector<std::string> targets;
        /// Grants closed in one transaction.
        std::size_t grantsPerStep = 24;
    };

    /// Begins from the incarnation's row as just read.
    Reclamation(Options options, TableRow nodeRow);

    Phase phase() const
    {
        return m_phase;
    }

    /// Epoch to put into seals: 0 while probing.
    std::uint64_t epoch() const;

    /// Targets whose answer is still missing.
    std::vector<std::string> missingTargets() const;

    /// A sidecar answered.
    void onWitness(const WitnessAnswer &answer);

    /// The time for probing is over: goes on when somebody answered and nobody heard the incarnation.
    void probeEnded();

    /// While Declaring: the transaction that marks the row as sealing.
    TableTransaction declaration() const;

    /// The table's answer to the declaration.
    void onDeclared(const TableTransactionResult &verdict);

    /// Flush number from which the ledger may hold charges of the reported runs.
    std::uint64_t earliestFlush() const;

    /// While Closing: takes over the charges that the incarnation itself billed since earliestFlush() and its grant rows as just read.
    void setBilled(absl::flat_hash_set<std::string> billed);
    void setGrants(std::vector<TableRow> grants);

    /// While Closing: the next step, the last of which marks the row as closed.
    ClosingStep nextClosingStep() const;

    /// The table's answer to a closing step.
    void onClosed(const ClosingStep &step, const TableTransactionResult &verdict);

    /// Runs that the reclamation has billed or found billed, by target: their sidecars can forget them.
    std::map<std::string, std::vector<std::string>> settledRuns() const;

private:
    struct WitnessedRun {
        std::string target;
        RunRecord record;
    };

    std::vector<Charge> chargesFor(std::string_view budget) const;
    std::vector<Charge> freeCharges() const;
    boost::json::object nodeFields(std::string_view state, const std::string &ledger) const;

    Options m_options;
    Phase m_phase = Phase::Probing;
    TableRow m_nodeRow;
    std::uint64_t m_epoch = 0;
    std::map<std::string, SealVerdict> m_answers;
    std::vector<WitnessedRun> m_runs;
    absl::flat_hash_set<std::string> m_billed;
    std::vector<TableRow> m_grants;
    int m_step = 0;
};

}
