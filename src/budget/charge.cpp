#include "budget/charge.h"

#include "store/table.h"

namespace bamboohold {

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not_run";
    case Outcome::FailedAfterRunning:
        return "failed_after_running";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

boost::json::object toJson(const Charge &charge)
{
    const std::string_view outcome = outcomeName(charge.outcome);
    return {{"request", charge.requestId},
            {"team", charge.team},
            {"budget", charge.budget},
            {"target", charge.target},
            {"attempt", charge.attempt},
            {"outcome", boost::json::string(outcome.data(), outcome.size())},
            {"prompt_tokens", charge.promptTokens},
            {"output_tokens", charge.outputTokens},
            {"tokens", charge.tokens},
            {"estimated", charge.estimated},
            {"at_ms", charge.chargedAtMs}};
}

Charge chargeFromJson(const boost::json::object &object)
{
    Charge charge{.requestId = textField(object, "request"),
                  .team = textField(object, "team"),
                  .budget = textField(object, "budget"),
                  .target = textField(object, "target"),
                  .attempt = static_cast<std::uint32_t>(integerField(object, "attempt")),
                  .promptTokens = integerField(object, "prompt_tokens"),
                  .outputTokens = integerField(object, "output_tokens"),
                  .tokens = integerField(object, "tokens"),
                  .chargedAtMs = integerField(object, "at_ms")};
    const std::string outcome = textField(object, "outcome");
    for (const auto candidate : {Outcome::Answered, Outcome::NotRun, Outcome::FailedAfterRunning, Outcome::Unknown}) {
        if (outcomeName(candidate) == outcome) {
            charge.outcome = candidate;
        }
    }
    const auto *estimated = object.if_contains("estimated");
    charge.estimated = estimated != nullptr && estimated->is_bool() && estimated->get_bool();
    return charge;
}

}
