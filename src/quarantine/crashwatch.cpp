#include "quarantine/crashwatch.h"

#include <utility>

namespace bamboohold {

namespace {

/// All attempts at a target that crashed break off within milliseconds of each other; a loop without processor time gets to the last of
/// them later.
constexpr Duration s_memory = std::chrono::seconds(10);
/// Fingerprints reported of one crash; more than an engine works on at one time.
constexpr std::size_t s_mostUnderWay = 1024;

}

CrashWatch::Step CrashWatch::brokeOff(const std::string &incarnation, const FingerprintPair &fingerprints, Instant now)
{
    const auto [found, first] = m_targets.try_emplace(incarnation);
    Broken &broken = found->second;
    broken.last = now;
    if (broken.crashed) {
        return Step::Report;
    }
    if (broken.fingerprints.size() < s_mostUnderWay) {
        broken.fingerprints.insert(broken.fingerprints.end(), fingerprints.begin(), fingerprints.end());
    }
    return first ? Step::Ask : Step::Wait;
}

std::vector<RequestFingerprint> CrashWatch::refused(const std::string &incarnation)
{
    Broken &broken = m_targets[incarnation];
    broken.crashed = true;
    return std::exchange(broken.fingerprints, {});
}

void CrashWatch::alive(const std::string &incarnation)
{
    m_targets.erase(incarnation);
}

void CrashWatch::expire(Instant now)
{
    std::erase_if(m_targets, [&](const auto &target) {
        return target.second.crashed && now - target.second.last > s_memory;
    });
}

}
