#include "gateway/mechanisms.h"

#include "failure/failure.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <string>

namespace bamboohold {

namespace {

struct Switch {
    std::string_view name;
    bool Mechanisms::*enabled;
};

constexpr std::array<Switch, 18> s_switches{{{"relays", &Mechanisms::relays},
                                             {"carried-calls", &Mechanisms::carriedCalls},
                                             {"keepers", &Mechanisms::keepers},
                                             {"loans", &Mechanisms::loans},
                                             {"ample-budgets", &Mechanisms::ampleBudgets},
                                             {"start-patience", &Mechanisms::startPatience},
                                             {"favourites", &Mechanisms::favourites},
                                             {"shared-loads", &Mechanisms::sharedLoads},
                                             {"shedding", &Mechanisms::shedding},
                                             {"silence", &Mechanisms::silence},
                                             {"ejection", &Mechanisms::ejection},
                                             {"quarantine", &Mechanisms::quarantine},
                                             {"admissions", &Mechanisms::admissions},
                                             {"request-queue", &Mechanisms::requestQueue},
                                             {"host-load", &Mechanisms::hostLoad},
                                             {"planned-retries", &Mechanisms::plannedRetries},
                                             {"service-shares", &Mechanisms::serviceShares},
                                             {"target-speeds", &Mechanisms::targetSpeeds}}};

}

absl::StatusOr<Mechanisms> mechanismsWithout(std::string_view list)
{
    Mechanisms mechanisms;
    const std::vector<std::string> names = absl::StrSplit(std::string(list), ',', absl::SkipEmpty());
    for (const std::string &name : names) {
        const auto found = std::ranges::find(s_switches, name, &Switch::name);
        if (found == s_switches.end()) {
            return failed(FailureKind::InvalidSetting, absl::StrCat("unknown mechanism '", name, "'"));
        }
        mechanisms.*(found->enabled) = false;
    }
    return mechanisms;
}

}
