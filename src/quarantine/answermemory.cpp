#include "quarantine/answermemory.h"

#include "quarantine/dropoldest.h"

#include <algorithm>

namespace bamboohold {

AnswerMemory::AnswerMemory()
    : AnswerMemory(Options{})
{
}

AnswerMemory::AnswerMemory(Options options)
    : m_options(options)
{
}

void AnswerMemory::addLocalAnswer(const RequestFingerprint &fingerprint, Instant at)
{
    addPeerAnswer(fingerprint, at);
    Answers &answers = m_answers[fingerprint];
    answers.lastLocal = std::max(answers.lastLocal, at);
}

void AnswerMemory::addPeerAnswer(const RequestFingerprint &fingerprint, Instant at)
{
    if (m_answers.size() >= m_options.maxRequests && !m_answers.contains(fingerprint)) {
        dropOldestQuarter(m_answers, [](const Answers &answers) {
            return answers.last;
        });
    }
    Answers &answers = m_answers[fingerprint];
    answers.count = at - answers.last > m_options.retention ? 1 : answers.count + 1;
    answers.last = std::max(answers.last, at);
}

std::optional<Instant> AnswerMemory::takeUnannounced(const RequestFingerprint &fingerprint, Instant crash)
{
    const auto found = m_answers.find(fingerprint);
    if (found == m_answers.end() || found->second.lastLocal <= crash || found->second.lastAnnounced > crash) {
        return std::nullopt;
    }
    found->second.lastAnnounced = found->second.lastLocal;
    return found->second.lastLocal;
}

std::optional<Instant> AnswerMemory::lastAnswer(const RequestFingerprint &fingerprint) const
{
    const auto found = m_answers.find(fingerprint);
    return found != m_answers.end() ? std::optional(found->second.last) : std::nullopt;
}

unsigned AnswerMemory::recentAnswerCount(const RequestFingerprint &fingerprint, Instant now) const
{
    const auto found = m_answers.find(fingerprint);
    return found != m_answers.end() && now - found->second.last <= m_options.retention ? found->second.count : 0;
}

void AnswerMemory::expire(Instant now)
{
    std::erase_if(m_answers, [&](const auto &answers) {
        return now - answers.second.last > m_options.retention;
    });
}

}
