#include "membership/relayselector.h"

#include "routing/stablehash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace bamboohold {

namespace {

/// Avoids overflow: with the default options the backoff has reached its maximum before that.
constexpr std::uint32_t s_maxBackoffDoublings = 6;

}

RelaySelector::RelaySelector(Options options)
    : m_options(std::move(options))
{
}

void RelaySelector::addTargetRelay(const std::string &target, const std::string &relay, const std::string &failureDomain)
{
    if (relay.empty()) {
        return;
    }
    Relay &known = m_relays[target];
    if (known.address != relay) {
        // The relay runs on another host, so the failures of the previous one do not apply to it.
        known = {.address = relay};
    }
    known.failureDomain = failureDomain;
}

void RelaySelector::removeTargetRelay(const std::string &target)
{
    m_relays.erase(target);
}

std::optional<std::string> RelaySelector::choose(Instant now) const
{
    const auto rank = [this](const Relay &relay) {
        const std::uint64_t order = mixed(stableHash(m_options.self) ^ stableHash(relay.address));
        return std::tuple(relay.failureDomain != m_options.failureDomain, relay.failures, order);
    };
    const Relay *best = nullptr;
    for (const auto &[target, relay] : m_relays) {
        const bool inBackoff = now < relay.backoffUntil;
        if (!inBackoff && (best == nullptr || rank(relay) < rank(*best))) {
            best = &relay;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->address);
}

void RelaySelector::recordRelayFailure(const std::string &relay, Instant now)
{
    for (auto &[target, known] : m_relays) {
        if (known.address == relay) {
            const Duration backoff = m_options.initialRelayBackoff * (std::int64_t{1} << std::min(known.failures, s_maxBackoffDoublings));
            known.backoffUntil = now + std::min(backoff, m_options.maxRelayBackoff);
            ++known.failures;
        }
    }
}

void RelaySelector::recordRelaySuccess(const std::string &relay)
{
    for (auto &[target, known] : m_relays) {
        if (known.address == relay) {
            known.failures = 0;
        }
    }
}

}
