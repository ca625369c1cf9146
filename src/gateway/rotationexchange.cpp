#include "gateway/rotationexchange.h"

#include "clock/steadytime.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

namespace bamboohold {

namespace {

/// Longer than any period out of rotation. Bounds what a malformed notice may state.
constexpr std::int64_t s_maxRemainingMs = 60'000;
/// Bounds what a malformed notice may state.
constexpr double s_maxCapacity = 1e6;

}

RotationExchange::RotationExchange(PeerLink &link, Rotation &rotation, std::string failureDomain)
    : m_link(link)
    , m_rotation(rotation)
    , m_failureDomain(std::move(failureDomain))
{
    m_link.setRotationHandlers(
        [this](const std::string &peer, const wire::RotationNotice &notice) {
            handleNotice(peer, notice);
        },
        [this](const std::string &peer, const std::string &failureDomain) {
            handleDomain(peer, failureDomain);
        });
}

void RotationExchange::notifyRouters(bool changed, Instant now)
{
    const std::vector<std::string> routers = m_rotation.others();
    // Without any known router of the domain, all peers are told of a change; those of the domain answer.
    m_link.announceRotation(routers.empty() && changed ? m_link.peers() : routers, ownNotice(now));
}

void RotationExchange::setRouters(const std::vector<std::string> &routers)
{
    for (const std::string &router : m_rotation.others()) {
        if (std::ranges::find(routers, router) == routers.end()) {
            m_rotation.removeRouter(router);
        }
    }
}

void RotationExchange::handleNotice(const std::string &peer, const wire::RotationNotice &notice)
{
    if (notice.failure_domain() != m_failureDomain) {
        return;
    }
    handleDomain(peer, notice.failure_domain());
    const std::int64_t remainingMs = std::clamp<std::int64_t>(notice.remaining_ms(), 0, s_maxRemainingMs);
    const double capacity = std::isfinite(notice.capacity()) ? std::clamp(notice.capacity(), 0.0, s_maxCapacity) : 0;
    m_rotation.recordNotice(
        peer,
        {.out = notice.out(), .remaining = std::chrono::milliseconds(remainingMs), .capacity = capacity, .full = notice.full()},
        steadyNow());
}

void RotationExchange::handleDomain(const std::string &peer, const std::string &failureDomain)
{
    if (failureDomain != m_failureDomain) {
        return;
    }
    const std::vector<std::string> known = m_rotation.others();
    if (std::ranges::find(known, peer) != known.end()) {
        return;
    }
    const Instant now = steadyNow();
    m_rotation.recordNotice(peer, false, Duration::zero(), now);
    m_link.announceRotation({peer}, ownNotice(now));
}

wire::RotationNotice RotationExchange::ownNotice(Instant now) const
{
    wire::RotationNotice notice;
    notice.set_router(m_link.self());
    notice.set_failure_domain(m_failureDomain);
    notice.set_out(m_rotation.out());
    notice.set_remaining_ms(std::chrono::duration_cast<std::chrono::milliseconds>(m_rotation.remaining(now)).count());
    notice.set_capacity(m_rotation.capacity());
    notice.set_full(m_rotation.full());
    return notice;
}

}
