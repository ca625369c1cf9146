#include "budget/holdingrows.h"

#include "budget/checkpointrow.h"

#include "operations/log.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace bamboohold {

namespace {

constexpr std::string_view s_holderPrefix = "holder/";
/// Larger than any budget, so that a pool with this allocation has nothing free.
constexpr Tokens s_allHandedOut = s_mostStored + 1;

/// Reads the fields of a row. A missing field or one with an invalid value makes the whole row invalid: reading zero for the allocated
/// tokens would make them available a second time.
class RowReader
{
public:
    explicit RowReader(const StoredRow &stored)
        : m_stored(stored)
    {
        boost::json::error_code error;
        boost::json::value value = boost::json::parse(stored.value, error);
        if (error || !value.is_object()) {
            m_spoilt = "not a JSON object";
        } else {
            m_object = std::move(value.get_object());
        }
    }

    std::int64_t whole(std::string_view name)
    {
        return within(name, 0);
    }

    /// The store's clock has its own origin, so times may be negative.
    StoreTimeMs time(std::string_view name)
    {
        return within(name, -s_mostStored);
    }

    std::string text(std::string_view name)
    {
        const auto *value = m_object.if_contains({name.data(), name.size()});
        if (value == nullptr || !value->is_string()) {
            spoiltBy(name);
            return {};
        }
        return std::string(value->get_string());
    }

    /// Whether all fields read were valid. Logs the field that was not.
    bool sound() const
    {
        if (!m_spoilt.empty()) {
            logLine(Severity::Error,
                    "budget.row_unreadable",
                    {{"row", m_stored.address.key}, {"team", m_stored.address.part}, {"detail", m_spoilt}});
        }
        return m_spoilt.empty();
    }

private:
    std::int64_t within(std::string_view name, std::int64_t least)
    {
        const auto *value = m_object.if_contains({name.data(), name.size()});
        const bool sound = value != nullptr && value->is_int64() && value->get_int64() >= least && value->get_int64() <= s_mostStored;
        return sound ? value->get_int64() : spoiltBy(name);
    }

    std::int64_t spoiltBy(std::string_view name)
    {
        m_spoilt = name;
        return 0;
    }

    const StoredRow &m_stored;
    boost::json::object m_object;
    std::string m_spoilt;
};

}

std::string holderKey(std::string_view holder)
{
    return std::string(s_holderPrefix).append(holder);
}

HolderRow holderRowFrom(const StoredRow &stored)
{
    RowReader reader(stored);
    HolderRow row{.incarnation = reader.text("incarnation"),
                  .flush = static_cast<std::uint64_t>(reader.whole("flush")),
                  .granted = reader.whole("granted"),
                  .settled = reader.whole("settled"),
                  .committed = reader.whole("committed"),
                  .demand = reader.whole("demand"),
                  .writtenAt = reader.time("written_at_ms")};
    return reader.sound() ? row : HolderRow{};
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
    RowReader reader(stored);
    const PoolRow row{.prepaid = reader.whole("prepaid"),
                      .planVersion = static_cast<std::uint64_t>(reader.whole("plan_version")),
                      .allocated = reader.whole("allocated")};
    // An empty pool row would grant tokens again that other routers already hold, so an invalid one counts as fully allocated.
    return reader.sound() ? row : PoolRow{.allocated = s_allHandedOut};
}

std::string toText(const PoolRow &row)
{
    return boost::json::serialize(
        boost::json::object{{"prepaid", row.prepaid}, {"plan_version", row.planVersion}, {"allocated", row.allocated}});
}

}
