#include "gateway/targetbalancer.h"

#include <cmath>

namespace bamboohold {

namespace {

int percentOfMedian(const TargetSpeed &speed, double median, Instant now)
{
    constexpr double percent = 100;
    return static_cast<int>(std::lround(percent * speed.ratio(median, now) / median));
}

}

void TargetBalancer::updateFigures(TargetState &target, Instant now)
{
    if (const auto service = m_serviceSpeeds.find(target.listing.service); service != m_serviceSpeeds.end()) {
        target.speedFigures = service->second.figures(target.speed, target.listing.slots, now);
    }
}

void TargetBalancer::measureFirstByte(const Placement &placement, bool streamed, Instant sentAt, Instant now)
{
    const auto found = m_targets.find(placement.incarnation);
    const Tokens tokens = placement.unreadAhead + placement.uncachedTokens;
    if (!m_options.learnsSpeeds || found == m_targets.end() || tokens <= 0) {
        return;
    }
    TargetState &target = found->second;
    const auto service = m_serviceSpeeds.try_emplace(target.listing.service, priorSpeedFigures(m_options)).first;
    service->second.recordFirstByte(target.speed, {.tokens = tokens, .streamed = streamed, .sentAt = sentAt}, now);
    updateFigures(target, now);
}

void TargetBalancer::measureCompletion(const std::string &incarnation, const ServiceSpeed::Completion &answer, Instant now)
{
    const auto found = m_targets.find(incarnation);
    if (found == m_targets.end()) {
        return;
    }
    // A service whose requests have no prompts has no entry, and is balanced by load alone.
    if (const auto service = m_serviceSpeeds.find(found->second.listing.service); service != m_serviceSpeeds.end()) {
        service->second.recordCompletion(found->second.speed, answer, now);
        updateFigures(found->second, now);
    }
}

std::optional<SpeedReport> TargetBalancer::speedReport(const std::string &incarnation, Instant now) const
{
    const auto found = m_targets.find(incarnation);
    return found == m_targets.end() ? std::nullopt : found->second.speed.report(now);
}

std::optional<TargetBalancer::IgnoredSpeedReport>
TargetBalancer::setRemoteSpeed(const std::string &incarnation, const SpeedReport &report, Instant now)
{
    const auto found = m_targets.find(incarnation);
    if (!m_options.learnsSpeeds || found == m_targets.end()) {
        return std::nullopt;
    }
    TargetState &target = found->second;
    if (const std::string_view fault = speedReportFault(report); !fault.empty()) {
        return IgnoredSpeedReport{.reason = fault, .first = target.speed.markReportIgnored()};
    }
    target.speed.setRemote(report, now);
    m_serviceSpeeds.try_emplace(target.listing.service, priorSpeedFigures(m_options));
    updateFigures(target, now);
    return std::nullopt;
}

std::vector<TargetBalancer::SpeedChange> TargetBalancer::refreshSpeeds(Instant now)
{
    std::vector<SpeedChange> changes;
    if (m_serviceSpeeds.empty()) {
        return changes;
    }
    std::map<ServiceSpeed *, std::vector<TargetSpeed *>> speeds;
    for (auto &[incarnation, target] : m_targets) {
        if (const auto service = m_serviceSpeeds.find(target.listing.service); service != m_serviceSpeeds.end()) {
            speeds[&service->second].push_back(&target.speed);
        }
    }
    for (const auto &[service, targets] : speeds) {
        service->refresh(targets, now);
    }
    for (auto &[incarnation, target] : m_targets) {
        const auto service = m_serviceSpeeds.find(target.listing.service);
        if (service == m_serviceSpeeds.end()) {
            continue;
        }
        updateFigures(target, now);
        const double median = service->second.median();
        if (const std::optional<bool> slow = target.speed.updateSlow(median, now)) {
            changes.push_back({.incarnation = incarnation, .slow = *slow, .percent = percentOfMedian(target.speed, median, now)});
        }
    }
    return changes;
}

std::map<std::string, int> TargetBalancer::speedPercents(Instant now) const
{
    std::map<std::string, int> percents;
    for (const auto &[incarnation, target] : m_targets) {
        const auto service = m_serviceSpeeds.find(target.listing.service);
        if (service != m_serviceSpeeds.end() && !target.speed.empty(now)) {
            percents[incarnation] = percentOfMedian(target.speed, service->second.median(), now);
        }
    }
    return percents;
}

}
