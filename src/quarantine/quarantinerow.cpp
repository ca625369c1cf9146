#include "quarantine/quarantinerow.h"

#include "failure/failure.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

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
    return boost::json::serialize(boost::json::object{{"next_trial_ms", row.nextTrial}, {"terms", row.quarantineLevel}});
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
    return QuarantineRow{.nextTrial = nextTrial, .quarantineLevel = static_cast<unsigned>(quarantineLevel)};
}

}
