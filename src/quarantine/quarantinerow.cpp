#include "quarantine/quarantinerow.h"

#include "failure/failure.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <limits>

namespace bamboohold {

namespace {

/// Returns a non-negative integer member of the object, or -1 if there is none.
std::int64_t numberOf(const boost::json::object &object, std::string_view name)
{
    const boost::json::value *value = object.if_contains({name.data(), name.size()});
    return value != nullptr && value->is_int64() && value->get_int64() >= 0 ? value->get_int64() : -1;
}

}

std::string toText(const QuarantineRow &row)
{
    boost::json::object object{{"next_trial_ms", row.nextTrial}, {"terms", row.quarantineLevel}};
    if (row.lastCrash > 0) {
        object["trials"] = row.trials;
        object["joint_trial"] = row.jointTrial ? 1 : 0;
        object["last_crash_ms"] = row.lastCrash;
    }
    return boost::json::serialize(object);
}

absl::StatusOr<QuarantineRow> quarantineRowFrom(std::string_view text)
{
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse({text.data(), text.size()}, error);
    if (error || !value.is_object()) {
        return failed(FailureKind::InvalidDocument, "quarantine row is not a JSON object");
    }
    const std::int64_t nextTrial = numberOf(value.get_object(), "next_trial_ms");
    const std::int64_t quarantineLevel = numberOf(value.get_object(), "terms");
    if (nextTrial < 0 || quarantineLevel < 0 || quarantineLevel > std::numeric_limits<std::int32_t>::max()) {
        return failed(FailureKind::InvalidDocument, "quarantine row lacks a valid \"next_trial_ms\" or \"terms\"");
    }
    const boost::json::object &object = value.get_object();
    const std::int64_t trials = std::clamp<std::int64_t>(numberOf(object, "trials"), 0, std::numeric_limits<std::int32_t>::max());
    return QuarantineRow{.nextTrial = nextTrial,
                         .quarantineLevel = static_cast<unsigned>(quarantineLevel),
                         .trials = static_cast<unsigned>(trials),
                         .jointTrial = numberOf(object, "joint_trial") > 0,
                         .lastCrash = std::max<StoreTimeMs>(numberOf(object, "last_crash_ms"), 0)};
}

}
