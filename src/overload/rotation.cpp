#include "overload/rotation.h"

#include <algorithm>
#include <utility>

namespace bamboohold {

namespace {

/// A host leaves once less than one part in this many of what the domain can carry is out.
constexpr double s_partsOfCapacity = 3;
constexpr double s_capacityTolerance = 1e-9;
/// A host returns for a full one no sooner than this, so that the balancer has moved its callers.
constexpr Duration s_minTimeOut = std::chrono::seconds(3);

}

Rotation::Rotation()
    : Rotation(Options{})
{
}

Rotation::Rotation(Options options)
    : m_options(std::move(options))
{
}

Rotation::Update Rotation::update(double pressure, Instant now)
{
    const bool fullBefore = m_full;
    if (pressure < m_options.leavePressure) {
        m_fullSince.reset();
        m_keptIn = false;
    } else {
        m_fullSince = m_fullSince.value_or(now);
    }
    m_full = m_fullSince && now - *m_fullSince >= m_options.fullTime;
    if (m_out && leftTooMany(now)) {
        m_out = false;
        m_keptIn = true;
        return {.change = Change::KeptIn, .notify = true};
    }
    const bool due = now - m_notifiedAt >= m_options.noticeInterval;
    if (m_out) {
        const bool periodOver = now - m_leftAt >= m_period && pressure < m_options.returnPressure;
        if (periodOver || returnsForFullOne(pressure, now)) {
            m_out = false;
            m_joinedAt = now;
            return {.change = Change::Joined, .notify = true};
        }
        m_notifiedAt = due ? now : m_notifiedAt;
        return {.notify = due};
    }
    if (!m_full) {
        return {};
    }
    if (!mayLeave(now)) {
        const bool reported = std::exchange(m_keptIn, true);
        const bool notify = !fullBefore || due;
        m_notifiedAt = notify ? now : m_notifiedAt;
        return {.change = reported ? Change::None : Change::KeptIn, .notify = notify};
    }
    leave(now);
    return {.change = Change::Left, .notify = true};
}

bool Rotation::returnsForFullOne(double pressure, Instant now) const
{
    if (pressure >= m_options.returnPressure || now - m_leftAt < s_minTimeOut) {
        return false;
    }
    std::size_t in = 0;
    std::size_t fullIn = 0;
    double outCapacity = m_options.capacity;
    for (const auto &[router, other] : m_others) {
        const bool out = now < other.outUntil;
        const bool full = now < other.fullUntil;
        in += out ? 0 : 1;
        fullIn += full && !out ? 1 : 0;
        outCapacity += out ? other.capacity : 0;
        if (out && !full && router < m_options.self) {
            return false;
        }
    }
    // Where most hosts are full, a change would only move callers from one to the next. If another place is free, the full one leaves
    // without this one.
    const bool fewFull = fullIn > 0 && 2 * fullIn <= in;
    return fewFull && !mayLeaveBeside(othersOut(now) + 1, outCapacity);
}

bool Rotation::mayLeaveBeside(std::size_t others, double othersCapacity) const
{
    double all = m_options.capacity;
    for (const auto &[router, other] : m_others) {
        all += other.capacity;
    }
    // The tolerance is for sums of capacities that are not whole numbers.
    return others < mostOut() && othersCapacity * s_partsOfCapacity < all - s_capacityTolerance * all;
}

bool Rotation::mayLeave(Instant now) const
{
    double out = 0;
    for (const auto &[router, other] : m_others) {
        out += now < other.outUntil ? other.capacity : 0;
    }
    return mayLeaveBeside(othersOut(now), out);
}

void Rotation::leave(Instant now)
{
    const bool recent = m_joinedAt && now - *m_joinedAt < m_options.maxPeriod;
    m_period = recent ? std::min(m_options.maxPeriod, 2 * m_period) : m_options.firstPeriod;
    m_out = true;
    m_keptIn = false;
    m_leftAt = now;
    m_notifiedAt = now;
    m_outBefore.clear();
    for (const auto &[router, other] : m_others) {
        if (now < other.outUntil) {
            m_outBefore.insert(router);
        }
    }
}

bool Rotation::leftTooMany(Instant now) const
{
    if (now - m_leftAt >= m_options.settlingTime) {
        return false;
    }
    std::size_t before = 0;
    double capacity = 0;
    for (const auto &[router, other] : m_others) {
        if (now < other.outUntil && (router < m_options.self || m_outBefore.contains(router))) {
            ++before;
            capacity += other.capacity;
        }
    }
    return !mayLeaveBeside(before, capacity);
}

void Rotation::recordNotice(const std::string &router, const Notice &notice, Instant now)
{
    // A host stays out beyond its period while its pressure is high, and says so in each notice.
    const Duration valid = std::min(std::max(notice.remaining, 2 * m_options.noticeInterval), m_options.noticeLifetime);
    m_others[router] = {.outUntil = notice.out ? now + valid : now,
                        .fullUntil = notice.full ? now + m_options.noticeLifetime : now,
                        .capacity = notice.capacity > 0 ? notice.capacity : 1};
}

std::vector<std::string> Rotation::others() const
{
    std::vector<std::string> routers;
    for (const auto &[router, other] : m_others) {
        routers.push_back(router);
    }
    return routers;
}

void Rotation::removeRouter(const std::string &router)
{
    m_others.erase(router);
}

Duration Rotation::remaining(Instant now) const
{
    return m_out ? std::max(Duration::zero(), m_leftAt + m_period - now) : Duration::zero();
}

std::optional<Duration> Rotation::outFor(Instant now) const
{
    return m_out ? std::optional(now - m_leftAt) : std::nullopt;
}

std::size_t Rotation::othersOut(Instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_others, [now](const auto &other) {
        return now < other.second.outUntil;
    }));
}

std::size_t Rotation::mostOut() const
{
    return std::max<std::size_t>(1, (m_others.size() + 1) / 2);
}

}
