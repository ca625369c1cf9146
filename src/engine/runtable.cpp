#include "engine/runtable.h"

#include <algorithm>
#include <utility>

namespace bamboohold
{

RunTable::RunTable(Options options)
    : m_options(std::move(options))
{
}

std::optional<RunRefusal> RunTable::admit(const Attempt &attempt, Instant now)
{
    // A paused router that wakes after it was declared dead still believes in its grant. Its tokens may be in other hands by now, so nothing it sends
    // may start here, however late it arrives.
    if (m_sealed.contains(attempt.router)) {
        return RunRefusal::Sealed;
    }
    heard(attempt.router, now);
    // An attempt queued for an earlier process at this place arrives when the connection is back; its router may have counted it as lost by then.
    if (attempt.targetIncarnation != m_options.incarnation) {
        return RunRefusal::WrongIncarnation;
    }
    if (m_records.contains(attempt.requestId)) {
        return RunRefusal::Duplicate;
    }
    if (m_leaving) {
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
                                .router = attempt.router,
                                .team = attempt.team,
                                .budget = attempt.budget,
                                .bound = attempt.bound,
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
    m_heard.insert_or_assign(std::string(router), now);
}

SealVerdict RunTable::seal(std::string_view router, std::uint64_t epoch, Instant now)
{
    SealVerdict verdict;
    const std::string name(router);
    const auto heardAt = m_heard.find(name);
    const bool alive = heardAt != m_heard.end() && now - heardAt->second < m_options.livenessWindow;
    if (alive && !m_sealed.contains(name)) {
        verdict.refused = true;
        return verdict;
    }
    std::uint64_t &sealedAt = m_sealed[name];
    sealedAt = std::max(sealedAt, epoch);
    for (const auto &[requestId, record] : m_records) {
        if (record.router == name) {
            verdict.runs.push_back(record);
        }
    }
    return verdict;
}

void RunTable::beginDrain()
{
    m_leaving = true;
}

const RunRecord *RunTable::find(std::string_view requestId) const
{
    const auto found = m_records.find(std::string(requestId));
    return found == m_records.end() ? nullptr : &found->second;
}

}
