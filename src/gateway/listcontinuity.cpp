#include "gateway/listcontinuity.h"

#include <algorithm>

namespace bamboohold {

std::string_view missingEntryName(MissingEntry meaning)
{
    switch (meaning) {
    case MissingEntry::Left:
        return "left";
    case MissingEntry::Lapsed:
        return "lapsed";
    case MissingEntry::Unknown:
        break;
    }
    return "unknown";
}

ListContinuity::ListContinuity(Options options)
    : m_options(options)
{
}

void ListContinuity::recordListAnswer(Instant now)
{
    const bool interrupted = m_listAnswerAt && now - *m_listAnswerAt > m_options.maxSilence;
    m_listAnswerAt = now;
    if (interrupted && m_storeReachable) {
        m_servedSince = now;
        m_followedSince = now;
        m_awayAt.reset();
    }
}

void ListContinuity::setStoreReachable(bool reachable, Instant now)
{
    m_followedSince = reachable ? m_followedSince.value_or(now) : m_followedSince;
    if (reachable == m_storeReachable) {
        return;
    }
    m_storeReachable = reachable;
    if (!reachable) {
        m_answeredAt.reset();
        m_awayAt.reset();
        return;
    }
    m_servedSince = now;
    m_followedSince = now;
}

void ListContinuity::setStoreReturned(Instant now)
{
    m_returnedAt = now;
}

void ListContinuity::recordAnswer(Instant now)
{
    if (!m_storeReachable && !m_answeredAt) {
        m_answeredAt = now;
    }
}

void ListContinuity::recordStoreFailure(Instant sentAt)
{
    // An answer that came while the call was under way may mark the end of a cut, which the call did not outlive.
    if (!m_storeReachable && m_answeredAt && sentAt > *m_answeredAt) {
        m_awayAt = sentAt;
    }
}

void ListContinuity::applyReport(const ListReport &report, Instant now)
{
    if (!m_storeReachable || !m_servedSince) {
        return;
    }
    m_servedSince = std::min(*m_servedSince, now - report.servedFor);
    if (report.storeAway && report.servedFor < m_options.gracePeriod) {
        m_awayAt = now;
    }
}

ListReport ListContinuity::report(Instant now) const
{
    const bool following = m_storeReachable && m_followedSince && m_listAnswerAt && now - *m_listAnswerAt <= m_options.maxSilence;
    return {.servedFor = following ? now - *m_followedSince : Duration::zero(), .storeAway = missingEntry(now) == MissingEntry::Lapsed};
}

bool ListContinuity::servedForGracePeriod(Instant now) const
{
    // What the store has written since its latest answer is not known here.
    return m_storeReachable && (!m_servedSince || m_listAnswerAt.value_or(now) - *m_servedSince >= m_options.gracePeriod);
}

MissingEntry ListContinuity::removedEntry(Instant now) const
{
    if (servedForGracePeriod(now)) {
        return MissingEntry::Left;
    }
    if (!m_storeReachable) {
        return m_awayAt ? MissingEntry::Lapsed : MissingEntry::Unknown;
    }
    // The store may have returned long before this router did.
    const bool wasAway = m_awayAt && *m_servedSince - *m_awayAt < m_options.gracePeriod && now - *m_servedSince < m_options.gracePeriod;
    return wasAway ? MissingEntry::Lapsed : MissingEntry::Unknown;
}

MissingEntry ListContinuity::missingEntry(Instant now) const
{
    const bool justReturned = m_returnedAt && now - *m_returnedAt < m_options.gracePeriod;
    return justReturned ? MissingEntry::Lapsed : removedEntry(now);
}

}
