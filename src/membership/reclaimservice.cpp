#include "membership/reclaimservice.h"

#include "budget/budgetrows.h"
#include "clock/steadytime.h"
#include "link/framecodec.h"
#include "net/pause.h"
#include "operations/log.h"

#include <absl/strings/numbers.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bamboohold {

namespace {

constexpr int s_maxTransactionAttempts = 20;

RunRecord runRecordFrom(const wire::SealedRun &run)
{
    RunRecord record{.requestId = run.request_id(),
                     .attempt = run.attempt(),
                     .team = run.team(),
                     .budget = run.budget(),
                     .earliestFlush = run.earliest_flush(),
                     .running = run.running(),
                     .end = fromWire(run.end()),
                     .charged = run.charged()};
    if (run.usage().reported()) {
        record.usage = TokenUsage{.prompt = run.usage().prompt_tokens(), .output = run.usage().output_tokens()};
    }
    return record;
}

}

ReclaimService::ReclaimService(PlatformClient &platform, Options options)
    : m_platform(platform)
    , m_options(std::move(options))
{
}

void ReclaimService::setLink(LinkHub *link)
{
    m_link = link;
}

Reclamation::Phase ReclaimService::phase()
{
    const std::lock_guard lock(m_mutex);
    return m_current->phase();
}

std::int64_t ReclaimService::missingSidecarCount()
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::int64_t>(m_current->missingTargets().size());
}

void ReclaimService::onSealAnswer(const wire::SealAnswer &answer)
{
    const std::lock_guard lock(m_mutex);
    if (m_current == nullptr || answer.incarnation() != m_incarnation) {
        return;
    }
    SidecarAnswer sidecarAnswer{.target = answer.target(), .epoch = answer.epoch()};
    sidecarAnswer.verdict.alive = answer.alive();
    sidecarAnswer.verdict.complete = answer.complete();
    for (const wire::SealedRun &run : answer.runs()) {
        sidecarAnswer.verdict.runs.push_back(runRecordFrom(run));
    }
    m_current->onSidecarAnswer(sidecarAnswer);
}

void ReclaimService::sendSeals()
{
    const std::lock_guard lock(m_mutex);
    wire::Envelope envelope;
    envelope.mutable_seal()->set_incarnation(m_incarnation);
    envelope.mutable_seal()->set_epoch(m_current->epoch());
    for (const std::string &target : m_current->missingTargets()) {
        m_link->send(target, envelope);
    }
}

asio::awaitable<absl::StatusOr<TableTransactionResult>> ReclaimService::transactWithRetries(TableTransaction transaction)
{
    absl::StatusOr<TableTransactionResult> verdict = failed(FailureKind::TableUnreachable, "no try yet");
    for (int attempt = 0; attempt < s_maxTransactionAttempts; ++attempt) {
        verdict = co_await m_platform.transact(transaction);
        if (verdict.ok() && verdict->applied) {
            co_return verdict;
        }
        // The first row names the reclaimer, the epoch and the ledger page. If it reads as this transaction writes it, an earlier attempt
        // whose answer was lost has taken effect.
        const auto row = co_await m_platform.readOne(transaction.operations.front().key);
        if (row.ok() && row->version != 0 && row->fields == transaction.operations.front().fields) {
            co_return TableTransactionResult{.applied = true, .versions = {row->version}};
        }
        if (verdict.ok()) {
            co_return verdict;
        }
        co_await pause(m_options.sealInterval);
    }
    co_return verdict;
}

asio::awaitable<void> ReclaimService::declareDead()
{
    TableTransaction declaration;
    {
        const std::lock_guard lock(m_mutex);
        declaration = m_current->declaration();
    }
    const auto verdict = co_await transactWithRetries(std::move(declaration));
    const std::lock_guard lock(m_mutex);
    m_current->onDeclared(verdict.ok() ? *verdict : TableTransactionResult{});
}

asio::awaitable<bool> ReclaimService::readBilledRequests(std::string ledger, std::uint64_t earliestFlush)
{
    absl::flat_hash_set<std::string> billed;
    while (!ledger.empty()) {
        std::uint64_t flush = 0;
        const bool isRouterFlush = absl::SimpleAtoi(flushIdOfLedgerKey(ledger), &flush);
        if (isRouterFlush && flush < earliestFlush) {
            break;
        }
        const auto object = co_await m_platform.readObject(ledger);
        if (!object.ok()) {
            co_return false;
        }
        const auto page = parseLedgerPage(*object);
        if (!page.ok()) {
            co_return false;
        }
        for (const Charge &charge : page->charges) {
            billed.insert(charge.requestId);
        }
        ledger = page->previous;
    }
    const std::lock_guard lock(m_mutex);
    m_current->setBilledRequests(std::move(billed));
    co_return true;
}

asio::awaitable<bool> ReclaimService::closeIncarnation()
{
    const auto row = co_await m_platform.readOne(nodeKey(m_incarnation));
    std::string prefix = std::string(s_grantPrefix);
    prefix.append(m_incarnation).append("/");
    auto grants = co_await m_platform.scan(prefix);
    if (!row.ok() || !grants.ok()) {
        co_return false;
    }
    std::uint64_t earliest = 0;
    {
        const std::lock_guard lock(m_mutex);
        earliest = m_current->earliestFlush();
        m_current->setGrants(*std::move(grants));
    }
    const bool billedKnown = co_await readBilledRequests(textField(row->fields, "ledger"), earliest);
    if (!billedKnown) {
        co_return false;
    }
    while (phase() == Reclamation::Phase::Closing) {
        ClosingStep step;
        {
            const std::lock_guard lock(m_mutex);
            step = m_current->nextClosingStep();
        }
        if (!step.objectKey.empty()) {
            const absl::Status stored = co_await m_platform.putObject(step.objectKey, step.object);
            if (!stored.ok()) {
                co_return false;
            }
        }
        const auto verdict = co_await transactWithRetries(step.transaction);
        const std::lock_guard lock(m_mutex);
        m_current->onClosed(step, verdict.ok() ? *verdict : TableTransactionResult{});
    }
    co_return true;
}

void ReclaimService::sendSettledRuns()
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[target, requestIds] : m_current->settledRuns()) {
        wire::Envelope envelope;
        for (const std::string &requestId : requestIds) {
            envelope.mutable_settled()->add_request_ids(requestId);
        }
        m_link->send(target, envelope);
    }
}

asio::awaitable<void> ReclaimService::reclaim(TableRow suspect, std::vector<std::string> targets)
{
    {
        const std::lock_guard lock(m_mutex);
        m_incarnation = suspect.key.substr(s_nodePrefix.size());
        m_current = std::make_unique<Reclamation>(
            Reclamation::Options{.incarnation = m_incarnation, .reclaimer = m_options.reclaimer, .targets = std::move(targets)}, suspect);
    }
    logLine(Severity::Info, "a router is silent; asking the sidecars", {{"incarnation", m_incarnation}});
    if (phase() == Reclamation::Phase::Probing) {
        sendSeals();
        co_await pause(m_options.probeTimeout);
        const std::lock_guard lock(m_mutex);
        m_current->probeEnded();
    }
    if (phase() == Reclamation::Phase::Declaring) {
        co_await declareDead();
    }
    const Instant sealDeadline = steadyNow() + m_options.sealTimeout;
    while (phase() == Reclamation::Phase::Sealing && steadyNow() < sealDeadline) {
        sendSeals();
        co_await pause(m_options.sealInterval);
    }
    bool done = phase() != Reclamation::Phase::Closing;
    while (!done) {
        done = co_await closeIncarnation();
        if (!done) {
            co_await pause(m_options.sealInterval);
        }
    }
    if (phase() == Reclamation::Phase::Closed) {
        sendSettledRuns();
        ++m_reclaimedCount;
    }
    const std::int64_t missing = missingSidecarCount();
    const bool recovered = phase() == Reclamation::Phase::Closed;
    logLine(Severity::Info,
            recovered ? "grants of a dead router recovered" : "recovery ended without closing; its grants stay held",
            {{"incarnation", m_incarnation}, {"missing_sidecars", missing}});
}

}
