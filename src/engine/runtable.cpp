#include "engine/runtable.h"

#include <algorithm>
#include <utility>

namespace bamboohold {

std::string_view runEndName(RunEnd end)
{
    switch (end) {
    case RunEnd::Complete:
        return "complete";
    case RunEnd::FailedAfterRunning:
        return "failed_after_running";
    case RunEnd::Cancelled:
        return "cancelled";
    case RunEnd::NotRun:
        return "not_run";
    case RunEnd::Unknown:
        break;
    }
    return "unknown";
}

RunTable::RunTable(Options options)
    : m_options(std::move(options))
{
}

void RunTable::setKnownRouters(std::span<const std::string> live, std::span<const std::string> dead)
{
    m_mayHaveEarlierRuns.insert(live.begin(), live.end());
    // Dead incarnations are included: an earlier process of this sidecar may have run their requests before this process started.
    m_mayHaveEarlierRuns.insert(dead.begin(), dead.end());
    m_sealed.insert(dead.begin(), dead.end());
    m_routersKnown = true;
}

void RunTable::clearEarlierRuns(std::string_view router)
{
    m_mayHaveEarlierRuns.erase(std::string(router));
}

std::optional<RunRefusal> RunTable::admit(const Attempt &attempt, Instant now)
{
    if (!m_routersKnown) {
        return RunRefusal::Leaving;
    }
    // A router that was paused while it was declared dead still uses its grant when it resumes. The tokens of that grant may have been
    // granted to other routers by then, so none of its attempts may start here, however late they arrive.
    const std::string &payer = attempt.payer.empty() ? attempt.router : attempt.payer;
    if (m_sealed.contains(attempt.router) || m_sealed.contains(payer)) {
        return RunRefusal::Sealed;
    }
    heard(attempt.router, now);
    // An attempt that was queued for an earlier process is delivered once the connection is restored. Its router may have counted it as
    // lost by then.
    if (attempt.targetIncarnation != m_options.incarnation) {
        return RunRefusal::WrongIncarnation;
    }
    if (m_records.contains(attempt.requestId)) {
        return RunRefusal::Duplicate;
    }
    if (m_draining) {
        return RunRefusal::Leaving;
    }
    if (attempt.expiresIn <= Duration::zero()) {
        return RunRefusal::Expired;
    }
    if (m_running >= m_options.limit) {
        return RunRefusal::Full;
    }
    ++m_running;
    m_records.emplace(attempt.requestId,
                      RunRecord{.requestId = attempt.requestId,
                                .attempt = attempt.attempt,
                                .router = payer,
                                .team = attempt.team,
                                .budget = attempt.budget,
                                .bound = attempt.bound,
                                .earliestFlush = attempt.earliestFlush,
                                .charged = attempt.bound});
    return std::nullopt;
}

Tokens RunTable::finish(std::string_view requestId, RunEnd end, const std::optional<TokenUsage> &usage)
{
    const auto found = m_records.find(std::string(requestId));
    if (found == m_records.end() || !found->second.running) {
        return 0;
    }
    --m_running;
    if (end == RunEnd::NotRun) {
        m_records.erase(found);
        return 0;
    }
    RunRecord &record = found->second;
    record.running = false;
    record.end = end;
    record.usage = usage;
    record.charged = usage ? std::min(usage->total(), record.bound) : record.bound;
    return record.charged;
}

void RunTable::forget(std::string_view requestId)
{
    const auto found = m_records.find(std::string(requestId));
    if (found != m_records.end() && !found->second.running) {
        m_records.erase(found);
    }
}

void RunTable::heard(std::string_view router, Instant now)
{
    m_lastHeard.insert_or_assign(std::string(router), now);
}

SealResult RunTable::probe(std::string_view router, Instant now) const
{
    const auto lastHeard = m_lastHeard.find(std::string(router));
    return {.alive = lastHeard != m_lastHeard.end() && now - lastHeard->second < m_options.livenessWindow};
}

SealResult RunTable::seal(std::string_view router)
{
    const std::string name(router);
    SealResult result{.complete = m_routersKnown && !m_mayHaveEarlierRuns.contains(name)};
    m_sealed.insert(name);
    for (const auto &[requestId, record] : m_records) {
        if (record.router == name) {
            result.runs.push_back(record);
        }
    }
    return result;
}

void RunTable::beginDrain()
{
    m_draining = true;
}

const RunRecord *RunTable::find(std::string_view requestId) const
{
    const auto found = m_records.find(std::string(requestId));
    return found == m_records.end() ? nullptr : &found->second;
}

}
