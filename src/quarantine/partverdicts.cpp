#include "quarantine/partverdicts.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bamboohold {

namespace {

/// Verdicts that are due within this time of each other are taken together, so that the likeliest of the parts explains the crashes.
constexpr Duration s_jointVerdicts = std::chrono::milliseconds(150);

}

PartVerdicts::PartVerdicts(Options options)
    : m_options(options)
{
}

std::vector<SeenCrash> PartVerdicts::unexplainedCrashes(const Suspect &suspect, const Knowledge &knowledge)
{
    std::vector<SeenCrash> unexplained;
    std::ranges::copy_if(suspect.crashes, std::back_inserter(unexplained), [&](const SeenCrash &crash) {
        return !knowledge.isExplained(crash.target);
    });
    return unexplained;
}

std::optional<Instant> PartVerdicts::completedAt(const Suspect &suspect, const Knowledge &knowledge) const
{
    if (suspect.crashes.size() < m_options.crashThreshold) {
        return std::nullopt;
    }
    const std::vector<SeenCrash> unexplained = unexplainedCrashes(suspect, knowledge);
    // A request that crashes targets, copy after copy, takes its parts with it to each crash.
    const bool oneRequest = std::ranges::all_of(unexplained, [&](const SeenCrash &crash) {
        return crash.request != 0 && crash.request == unexplained.front().request;
    });
    return oneRequest ? std::nullopt : m_crashes.reaches(m_options.crashThreshold, unexplained);
}

void PartVerdicts::update(const RequestFingerprint &part, const Knowledge &knowledge, Instant now)
{
    const Suspect *suspect = knowledge.suspects.find(part);
    const std::optional<Instant> completed = suspect != nullptr ? completedAt(*suspect, knowledge) : std::nullopt;
    if (!completed) {
        return;
    }
    const auto [known, isNew] = m_complete.try_emplace(part, CompleteEvidence{.completed = *completed, .known = now});
    // Reports of crashes arrive in any order.
    known->second.completed = std::min(known->second.completed, *completed);
    if (isNew) {
        m_newlyComplete.insert(part);
    }
}

std::vector<Suspects::KnownCrash> PartVerdicts::takeNewlyComplete(const Suspects &suspects)
{
    std::map<std::uint64_t, Suspects::KnownCrash> crashes;
    for (const RequestFingerprint &part : std::exchange(m_newlyComplete, {})) {
        if (const Suspect *suspect = suspects.find(part); suspect != nullptr) {
            const SeenCrash first = std::ranges::min(suspect->crashes, {}, &SeenCrash::at);
            Suspects::KnownCrash &crash = crashes[first.target];
            crash.target = first.target;
            crash.at = first.at;
            crash.inFlight.push_back(part);
        }
    }
    std::vector<Suspects::KnownCrash> all;
    all.reserve(crashes.size());
    for (auto &[target, crash] : crashes) {
        all.push_back(std::move(crash));
    }
    return all;
}

bool PartVerdicts::recentlyAnswered(const RequestFingerprint &part, const Knowledge &knowledge, Instant now) const
{
    const bool knowsAnswers = m_knowsAnswersSince && now - *m_knowsAnswersSince >= m_options.answerMemoryNeeded;
    return !knowsAnswers || knowledge.answers.recentAnswerCount(part, now) > 0;
}

std::optional<Instant> PartVerdicts::verdictTime(const RequestFingerprint &part, const Knowledge &knowledge, Instant now) const
{
    const Suspect *suspect = knowledge.suspects.find(part);
    if (suspect == nullptr || !completedAt(*suspect, knowledge)) {
        return std::nullopt;
    }
    const CompleteEvidence &evidence = m_complete.at(part);
    const Duration more = recentlyAnswered(part, knowledge, now) ? m_options.answeredPartDelay : Duration::zero();
    return std::max(evidence.completed + m_options.delay + more, evidence.known + m_options.peerAnswerTime) + m_options.stagger;
}

std::optional<Instant> PartVerdicts::next(const Knowledge &knowledge, Instant now) const
{
    std::optional<Instant> next;
    for (const auto &[part, evidence] : m_complete) {
        if (const std::optional<Instant> verdict = verdictTime(part, knowledge, now); verdict && (!next || *verdict < *next)) {
            next = verdict;
        }
    }
    return next;
}

std::vector<RequestFingerprint> PartVerdicts::likeliest(const Knowledge &knowledge, Instant now) const
{
    const std::optional<Instant> due = next(knowledge, now);
    if (!due || *due > now) {
        return {};
    }
    std::vector<RequestFingerprint> parts = likeliestOf(false, knowledge, now);
    return parts.empty() ? likeliestOf(true, knowledge, now) : parts;
}

std::vector<RequestFingerprint> PartVerdicts::likeliestOf(bool answered, const Knowledge &knowledge, Instant now) const
{
    std::vector<RequestFingerprint> parts;
    std::size_t most = 0;
    for (const auto &[part, evidence] : m_complete) {
        const std::optional<Instant> verdict = verdictTime(part, knowledge, now);
        if (!verdict || *verdict > now + s_jointVerdicts || recentlyAnswered(part, knowledge, now) != answered) {
            continue;
        }
        const std::size_t crashes = unexplainedCrashes(*knowledge.suspects.find(part), knowledge).size();
        if (crashes > most) {
            parts.clear();
        }
        if (crashes >= most) {
            most = crashes;
            parts.push_back(part);
        }
    }
    return parts;
}

void PartVerdicts::expire(const Knowledge &knowledge, Instant now)
{
    m_crashes.expire(now);
    std::erase_if(m_complete, [&](const auto &part) {
        return !verdictTime(part.first, knowledge, now);
    });
}

}
