#include "budget/ledgerpage.h"

#include "failure/failure.h"
#include "store/table.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace bamboohold {

std::string serializeLedgerPage(const LedgerPage &page)
{
    boost::json::array charges;
    for (const Charge &charge : page.charges) {
        charges.emplace_back(toJson(charge));
    }
    return boost::json::serialize(boost::json::object{{"previous", page.previous}, {"charges", std::move(charges)}});
}

absl::StatusOr<LedgerPage> parseLedgerPage(std::string_view json)
{
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse({json.data(), json.size()}, error);
    if (error || !value.is_object() || !value.get_object().contains("charges") || !value.get_object().at("charges").is_array()) {
        return failed(FailureKind::InvalidDocument, "ledger page: 'charges' is missing or not a list");
    }
    LedgerPage page{.previous = textField(value.get_object(), "previous")};
    for (const boost::json::value &line : value.get_object().at("charges").get_array()) {
        if (!line.is_object()) {
            return failed(FailureKind::InvalidDocument, "ledger page: every entry of 'charges' must be an object");
        }
        page.charges.push_back(chargeFromJson(line.get_object()));
    }
    return page;
}

}
