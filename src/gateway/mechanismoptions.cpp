#include "gateway/mechanismoptions.h"

#include "routing/stablehash.h"

namespace bamboohold {

namespace {

/// Longer than any process runs.
constexpr Duration s_never = std::chrono::hours(24 * 365);

/// The delay of this router's verdicts on parts of prompts.
Duration quarantineStagger(std::string_view self)
{
    constexpr std::uint64_t steps = 8;
    constexpr Duration step = std::chrono::milliseconds(25);
    return static_cast<std::int64_t>(mixed(stableHash(self)) % steps) * step;
}

}

void applyMechanisms(const Mechanisms &enabled, std::string_view self, Gateway::Options &gateway, HoldingPolicy &holdings)
{
    holdings.limitHolders = enabled.keepers;
    holdings.loans = enabled.loans;
    gateway.board.prefixAffinity = enabled.favourites;
    gateway.board.outlierEjection = enabled.ejection;
    gateway.board.learnsSpeeds = enabled.targetSpeeds;
    if (!enabled.ampleBudgets) {
        holdings.ampleSpan = s_never;
    }
    if (!enabled.startPatience) {
        gateway.startupWait = Duration::zero();
    }
    gateway.shedsLoad = enabled.shedding;
    gateway.measuresHostLoad = enabled.hostLoad;
    gateway.quarantinesRequests = enabled.quarantine;
    gateway.quarantine.partVerdicts.stagger = quarantineStagger(self);
    gateway.plannedRetries = enabled.plannedRetries;
    gateway.chooser.centralAdmission = enabled.admissions;
    gateway.queue.enabled = enabled.requestQueue;
    gateway.shares.floor = enabled.serviceShares ? gateway.shares.floor : 0;
    if (!enabled.silence) {
        gateway.board.firstByteAllowance = s_never;
    }
}

}
