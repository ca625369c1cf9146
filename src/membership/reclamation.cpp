#include "membership/reclamation.h"

#include "budget/budgetrows.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cassert>

namespace bamboohold {

Reclamation::Reclamation(Options options, TableRow nodeRow)
    : m_options(std::move(options))
    , m_nodeRow(std::move(nodeRow))
    , m_epoch(static_cast<std::uint64_t>(integerField(m_nodeRow.fields, "epoch")) + 1)
{
    const std::string state = textField(m_nodeRow.fields, "state");
    if (m_nodeRow.version == 0 || state == "closed") {
        m_phase = Phase::Closed;
    } else if (state == "sealing") {
        // An earlier reclaimer has already declared the incarnation dead. The declaration stands; this one takes over its work.
        m_phase = Phase::Declaring;
    }
}

std::uint64_t Reclamation::epoch() const
{
    return m_phase == Phase::Probing ? 0 : m_epoch;
}

std::vector<std::string> Reclamation::missingTargets() const
{
    std::vector<std::string> missing;
    for (const std::string &target : m_options.targets) {
        if (!m_answers.contains(target)) {
            missing.push_back(target);
        }
    }
    return missing;
}

void Reclamation::onSidecarAnswer(const SidecarAnswer &answer)
{
    if (answer.epoch != epoch()) {
        return;
    }
    if (m_phase == Phase::Probing) {
        m_answers.insert_or_assign(answer.target, answer.verdict);
        m_phase = answer.verdict.alive ? Phase::Abandoned : m_phase;
        return;
    }
    if (m_phase != Phase::Sealing || !answer.verdict.complete) {
        return;
    }
    const bool stillRunning = std::any_of(answer.verdict.runs.begin(), answer.verdict.runs.end(), [](const RunRecord &run) {
        return run.running;
    });
    if (stillRunning) {
        return;
    }
    m_answers.insert_or_assign(answer.target, answer.verdict);
    if (!missingTargets().empty()) {
        return;
    }
    for (const auto &[target, verdict] : m_answers) {
        for (const RunRecord &record : verdict.runs) {
            m_runs.push_back({.target = target, .record = record});
        }
    }
    m_phase = Phase::Closing;
}

void Reclamation::probeEnded()
{
    if (m_phase == Phase::Probing) {
        // If no sidecar answers, this router may be the one that is cut off.
        m_phase = m_answers.empty() ? Phase::Abandoned : Phase::Declaring;
        m_answers.clear();
    }
}

std::vector<Charge> Reclamation::zeroTokenCharges() const
{
    absl::flat_hash_set<std::string> budgets;
    std::vector<Charge> charges;
    for (const ReportedRun &run : m_runs) {
        budgets.insert(run.record.budget);
    }
    for (const std::string &budget : budgets) {
        const bool granted = std::any_of(m_grants.begin(), m_grants.end(), [&budget](const TableRow &grant) {
            return textField(grant.fields, "budget") == budget;
        });
        for (Charge &charge : chargesFor(budget)) {
            if (!granted && charge.tokens == 0) {
                charges.push_back(std::move(charge));
            }
        }
    }
    return charges;
}

boost::json::object Reclamation::nodeFields(std::string_view state, const std::string &ledger) const
{
    boost::json::object fields = m_nodeRow.fields;
    fields["state"] = boost::json::string(state.data(), state.size());
    fields["ledger"] = ledger;
    fields["epoch"] = static_cast<std::int64_t>(m_epoch);
    fields["reclaimer"] = m_options.reclaimer;
    return fields;
}

TableTransaction Reclamation::declaration() const
{
    TableTransaction transaction;
    transaction.operations.push_back(
        putRow(nodeKey(m_options.incarnation), nodeFields("sealing", textField(m_nodeRow.fields, "ledger")), m_nodeRow.version));
    return transaction;
}

void Reclamation::onDeclared(const TableTransactionResult &verdict)
{
    if (m_phase != Phase::Declaring) {
        return;
    }
    if (!verdict.applied) {
        // The row has changed: its owner has flushed and is alive, another reclaimer was faster, or an earlier attempt of this one took
        // effect and its answer was lost. Reading the row again tells which.
        m_phase = Phase::Abandoned;
        return;
    }
    m_nodeRow.version = verdict.versions.front();
    m_nodeRow.fields = nodeFields("sealing", textField(m_nodeRow.fields, "ledger"));
    m_phase = Phase::Sealing;
    if (m_options.targets.empty()) {
        m_phase = Phase::Closing;
    }
}

std::uint64_t Reclamation::earliestFlush() const
{
    std::uint64_t earliest = UINT64_MAX;
    for (const ReportedRun &run : m_runs) {
        earliest = std::min(earliest, run.record.earliestFlush);
    }
    return earliest;
}

void Reclamation::setBilledRequests(absl::flat_hash_set<std::string> billed)
{
    m_billedRequests = std::move(billed);
}

void Reclamation::setGrants(std::vector<TableRow> grants)
{
    m_grants = std::move(grants);
}

std::vector<Charge> Reclamation::chargesFor(std::string_view budget) const
{
    std::vector<Charge> charges;
    for (const ReportedRun &run : m_runs) {
        const RunRecord &record = run.record;
        if (record.budget != budget || m_billedRequests.contains(record.requestId)) {
            continue;
        }
        charges.push_back({.requestId = record.requestId,
                           .team = record.team,
                           .budget = record.budget,
                           .target = run.target,
                           .attempt = record.attempt,
                           .outcome = record.end == RunEnd::Unknown ? Outcome::Unknown : Outcome::FailedAfterRunning,
                           .promptTokens = record.usage ? record.usage->prompt : 0,
                           .outputTokens = record.usage ? record.usage->output : 0,
                           .tokens = record.charged,
                           .estimated = !record.usage});
    }
    return charges;
}

ClosingStep Reclamation::nextClosingStep() const
{
    assert(m_phase == Phase::Closing);
    ClosingStep step;
    auto &operations = step.transaction.operations;
    operations.emplace_back();
    LedgerPage page{.previous = textField(m_nodeRow.fields, "ledger")};
    const std::size_t count = std::min(m_options.grantsPerStep, m_grants.size());
    for (std::size_t index = 0; index < count; ++index) {
        const TableRow &grant = m_grants[index];
        const std::string budget = textField(grant.fields, "budget");
        const Tokens unspent = integerField(grant.fields, "unspent");
        Tokens charged = 0;
        for (Charge &charge : chargesFor(budget)) {
            charged += charge.tokens;
            page.charges.push_back(std::move(charge));
        }
        // Reservations never exceed the grant that they are made against.
        assert(charged <= unspent);
        const std::string key = budgetKey(budget);
        operations.push_back(addToField(key, "free", unspent - charged, 0));
        operations.push_back(addToField(key, "granted", -unspent, 0));
        operations.push_back(addToField(key, "consumed", charged, 0));
        operations.push_back({.kind = TableOperation::Kind::Remove, .key = grant.key, .expectedVersion = grant.version});
    }
    const bool last = count == m_grants.size();
    if (last) {
        // Calls that cost nothing have no grant to be charged against, but are still recorded in the ledger.
        for (Charge &charge : zeroTokenCharges()) {
            page.charges.push_back(std::move(charge));
        }
    }
    std::string ledger = page.previous;
    if (!page.charges.empty()) {
        // Each step has its own ledger page, so that a reclaimer that dies between two steps leaves no run recorded as billed whose tokens
        // were not deducted.
        step.objectKey = ledgerKey(m_options.incarnation, absl::StrCat("r", m_epoch, "-", m_step));
        step.object = serializeLedgerPage(page);
        ledger = step.objectKey;
    }
    operations.front() = putRow(nodeKey(m_options.incarnation), nodeFields(last ? "closed" : "sealing", ledger), m_nodeRow.version);
    return step;
}

void Reclamation::onClosed(const ClosingStep &step, const TableTransactionResult &verdict)
{
    if (!verdict.applied) {
        m_phase = Phase::Abandoned;
        return;
    }
    m_nodeRow.fields = step.transaction.operations.front().fields;
    m_nodeRow.version = verdict.versions.front();
    m_grants.erase(m_grants.begin(), m_grants.begin() + static_cast<std::ptrdiff_t>(std::min(m_options.grantsPerStep, m_grants.size())));
    ++m_step;
    if (textField(m_nodeRow.fields, "state") == "closed") {
        m_phase = Phase::Closed;
    }
}

std::map<std::string, std::vector<std::string>> Reclamation::settledRuns() const
{
    std::map<std::string, std::vector<std::string>> runs;
    for (const ReportedRun &run : m_runs) {
        runs[run.target].push_back(run.record.requestId);
    }
    return runs;
}

}
