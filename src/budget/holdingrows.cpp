#include "budget/holdingrows.h"

#include "budget/checkpointrow.h"

#include "operations/log.h"

#include <absl/strings/numbers.h>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace bamboohold {

namespace {

constexpr std::string_view s_holderPrefix = "holder/";
constexpr std::string_view s_generationPrefix = "generation/";
constexpr std::string_view s_poolWritePrefix = "pool-write/";
/// Larger than any budget, so that a pool with this allocation has nothing free.
constexpr Tokens s_fullyAllocated = s_maxStoredValue + 1;

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
            m_error = "not a JSON object";
        } else {
            m_object = std::move(value.get_object());
        }
    }

    std::int64_t readCount(std::string_view name)
    {
        return readInteger(name, 0);
    }

    /// Reads a field that rows of earlier versions do not have.
    std::int64_t readCountOr(std::string_view name, std::int64_t absent)
    {
        return m_object.contains({name.data(), name.size()}) ? readCount(name) : absent;
    }

    /// The store's clock has its own origin, so times may be negative.
    StoreTimeMs readTime(std::string_view name)
    {
        return readInteger(name, -s_maxStoredValue);
    }

    std::string readText(std::string_view name)
    {
        const auto *value = m_object.if_contains({name.data(), name.size()});
        if (value == nullptr || !value->is_string()) {
            markInvalid(name);
            return {};
        }
        return std::string(value->get_string());
    }

    /// Reads a field that rows of earlier versions do not have.
    std::string readTextOrEmpty(std::string_view name)
    {
        return m_object.contains({name.data(), name.size()}) ? readText(name) : std::string();
    }

    /// Whether all fields read were valid. Logs the field that was not.
    bool valid() const
    {
        if (!m_error.empty()) {
            logLine(Severity::Error,
                    "budget.row_unreadable",
                    {{"row", m_stored.address.key}, {"team", m_stored.address.part}, {"detail", m_error}});
        }
        return m_error.empty();
    }

private:
    std::int64_t readInteger(std::string_view name, std::int64_t minimum)
    {
        const auto *value = m_object.if_contains({name.data(), name.size()});
        const bool inRange =
            value != nullptr && value->is_int64() && value->get_int64() >= minimum && value->get_int64() <= s_maxStoredValue;
        return inRange ? value->get_int64() : markInvalid(name);
    }

    std::int64_t markInvalid(std::string_view name)
    {
        m_error = name;
        return 0;
    }

    const StoredRow &m_stored;
    boost::json::object m_object;
    std::string m_error;
};

}

std::string generationKey(StoreGeneration generation)
{
    return std::string(s_generationPrefix).append(std::to_string(generation));
}

std::string markText(StoreTimeMs since)
{
    return std::to_string(since);
}

StoreTimeMs markTimeFrom(const StoredRow &stored)
{
    StoreTimeMs since = 0;
    if (!absl::SimpleAtoi(stored.value, &since)) {
        logLine(Severity::Error, "budget.row_unreadable", {{"row", stored.address.key}, {"team", stored.address.part}, {"detail", "time"}});
        return 0;
    }
    return since;
}

bool isGenerationKey(std::string_view key)
{
    return key.starts_with(s_generationPrefix);
}

std::string holderKey(std::string_view holder)
{
    return std::string(s_holderPrefix).append(holder);
}

bool isHolderKey(std::string_view key)
{
    return key.starts_with(s_holderPrefix);
}

std::string poolWriteKey(std::string_view writeId)
{
    return std::string(s_poolWritePrefix).append(writeId);
}

bool isPoolWriteKey(std::string_view key)
{
    return key.starts_with(s_poolWritePrefix);
}

HolderRow holderRowFrom(const StoredRow &stored)
{
    RowReader reader(stored);
    HolderRow row{.incarnation = reader.readText("incarnation"),
                  .flushSequence = static_cast<std::uint64_t>(reader.readCount("flush")),
                  .granted = reader.readCount("granted"),
                  .settled = reader.readCount("settled"),
                  .committed = reader.readCount("committed"),
                  .demand = reader.readCount("demand"),
                  .writtenAt = reader.readTime("written_at_ms"),
                  .generation = static_cast<StoreGeneration>(reader.readCountOr("generation", 0)),
                  .startedIn = static_cast<StoreGeneration>(reader.readCountOr("started_in", 0)),
                  .link = reader.readTextOrEmpty("link")};
    row.draws = {.ceiling = reader.readCountOr("ceiling", row.granted),
                 .prepaid = reader.readCountOr("prepaid", s_maxStoredValue),
                 .share = reader.readCountOr("share", 0),
                 .older = reader.readCountOr("older_ceiling", DrawLimit::s_unlimited)};
    return reader.valid() ? row : HolderRow{};
}

std::string toText(const HolderRow &row)
{
    boost::json::object fields{{"incarnation", row.incarnation},
                               {"flush", row.flushSequence},
                               {"granted", row.granted},
                               {"settled", row.settled},
                               {"committed", row.committed},
                               {"demand", row.demand},
                               {"written_at_ms", row.writtenAt},
                               {"generation", row.generation},
                               {"ceiling", row.draws.ceiling},
                               {"prepaid", row.draws.prepaid},
                               {"share", row.draws.share},
                               {"older_ceiling", row.draws.older}};
    if (row.startedIn > 0) {
        fields["started_in"] = row.startedIn;
    }
    if (!row.link.empty()) {
        fields["link"] = row.link;
    }
    return boost::json::serialize(fields);
}

PoolRow poolRowFrom(const StoredRow &stored)
{
    RowReader reader(stored);
    const PoolRow row{.prepaid = reader.readCount("prepaid"),
                      .planVersion = static_cast<std::uint64_t>(reader.readCount("plan_version")),
                      .allocated = reader.readCount("allocated"),
                      .writeId = reader.readTextOrEmpty("write"),
                      .lostRows = reader.readCountOr("lost_rows", 0),
                      .withheld = reader.readCountOr("withheld", 0)};
    // An empty pool row would grant tokens again that other routers already hold, so an invalid one counts as fully allocated.
    return reader.valid() ? row : PoolRow{.allocated = s_fullyAllocated};
}

std::string toText(const PoolRow &row)
{
    boost::json::object fields{{"prepaid", row.prepaid}, {"plan_version", row.planVersion}, {"allocated", row.allocated}};
    if (!row.writeId.empty()) {
        fields["write"] = row.writeId;
    }
    if (row.lostRows > 0) {
        fields["lost_rows"] = row.lostRows;
        fields["withheld"] = row.withheld;
    }
    return boost::json::serialize(fields);
}

}
