#include "budget/holdingrows.h"

#include "operations/log.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace bamboohold {

namespace {

constexpr std::string_view s_holderPrefix = "holder/";
/// More than any budget: a pool of which this is handed out has nothing free.
constexpr Tokens s_allHandedOut = 1'000'000'000'000'000;

std::int64_t whole(const boost::json::object &object, std::string_view name)
{
    const auto *value = object.if_contains({name.data(), name.size()});
    return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

boost::json::object parsed(const StoredRow &stored)
{
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse(stored.value, error);
    if (error || !value.is_object()) {
        logLine(Severity::Error, "budget.row_unreadable", {{"row", stored.address.key}, {"team", stored.address.part}});
        return {};
    }
    return value.get_object();
}

}

std::string holderKey(std::string_view holder)
{
    return std::string(s_holderPrefix).append(holder);
}

HolderRow holderRowFrom(const StoredRow &stored)
{
    const boost::json::object object = parsed(stored);
    HolderRow row{.flush = static_cast<std::uint64_t>(whole(object, "flush")),
                  .granted = whole(object, "granted"),
                  .settled = whole(object, "settled"),
                  .committed = whole(object, "committed"),
                  .demand = whole(object, "demand"),
                  .writtenAt = whole(object, "written_at_ms")};
    const auto *incarnation = object.if_contains("incarnation");
    if (incarnation != nullptr && incarnation->is_string()) {
        row.incarnation = std::string(incarnation->get_string());
    }
    return row;
}

std::string toText(const HolderRow &row)
{
    return boost::json::serialize(boost::json::object{{"incarnation", row.incarnation},
                                                      {"flush", row.flush},
                                                      {"granted", row.granted},
                                                      {"settled", row.settled},
                                                      {"committed", row.committed},
                                                      {"demand", row.demand},
                                                      {"written_at_ms", row.writtenAt}});
}

PoolRow poolRowFrom(const StoredRow &stored)
{
    const boost::json::object object = parsed(stored);
    if (object.empty()) {
        // Taken for an untouched pool, it would hand out what others hold already.
        return {.allocated = s_allHandedOut};
    }
    return {.prepaid = whole(object, "prepaid"),
            .planVersion = static_cast<std::uint64_t>(whole(object, "plan_version")),
            .allocated = whole(object, "allocated")};
}

std::string toText(const PoolRow &row)
{
    return boost::json::serialize(
        boost::json::object{{"prepaid", row.prepaid}, {"plan_version", row.planVersion}, {"allocated", row.allocated}});
}

}
