#include "budget/checkpointrow.h"

#include "operations/log.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace bamboohold {

namespace {

constexpr double s_msPerSecond = 1000;
/// Numbers in a serialized commitment.
constexpr std::size_t s_commitmentNumbers = 3;

boost::json::object toJson(const Checkpoint &checkpoint)
{
    boost::json::object teams;
    for (const auto &[team, commitment] : checkpoint.teams) {
        teams[team] = boost::json::array{commitment.committed, commitment.burst, commitment.rate};
    }
    boost::json::object object{{"incarnation", checkpoint.incarnation},
                               {"sequence", checkpoint.sequence},
                               {"generation", checkpoint.generation},
                               {"baseline_ms", checkpoint.baseline},
                               {"teams", std::move(teams)}};
    if (checkpoint.diedBefore) {
        object["died_before_ms"] = *checkpoint.diedBefore;
    }
    return object;
}

std::int64_t countFrom(const boost::json::value &value)
{
    const std::int64_t count = value.as_int64();
    if (count < 0 || count > s_maxStoredValue) {
        throw std::invalid_argument("count out of range");
    }
    return count;
}

/// The store's clock has its own origin, so the time at which a process started may be negative.
StoreTimeMs timeFrom(const boost::json::value &value)
{
    const StoreTimeMs time = value.as_int64();
    if (time < -s_maxStoredValue || time > s_maxStoredValue) {
        throw std::invalid_argument("time out of range");
    }
    return time;
}

Commitment commitmentFrom(const boost::json::value &value)
{
    const boost::json::array &numbers = value.as_array();
    if (numbers.size() != s_commitmentNumbers) {
        throw std::invalid_argument("a commitment must be an array of three numbers");
    }
    return {.committed = countFrom(numbers[0]), .burst = countFrom(numbers[1]), .rate = countFrom(numbers[2])};
}

Checkpoint checkpointFrom(const boost::json::value &value)
{
    const boost::json::object &object = value.as_object();
    Checkpoint checkpoint{.incarnation = std::string(object.at("incarnation").as_string()),
                          .sequence = static_cast<std::uint64_t>(countFrom(object.at("sequence"))),
                          .baseline = timeFrom(object.at("baseline_ms"))};
    if (const auto *generation = object.if_contains("generation")) {
        checkpoint.generation = static_cast<StoreGeneration>(countFrom(*generation));
    }
    if (const auto *died = object.if_contains("died_before_ms")) {
        checkpoint.diedBefore = timeFrom(*died);
    }
    for (const auto &[team, commitment] : object.at("teams").as_object()) {
        checkpoint.teams[std::string(team)] = commitmentFrom(commitment);
    }
    return checkpoint;
}

}

Tokens Commitment::limitAfter(double elapsedSeconds) const
{
    const double growing = std::max(0.0, elapsedSeconds - seconds(s_growthDelay));
    return committed + burst + static_cast<Tokens>(static_cast<double>(rate) * growing);
}

Tokens Checkpoint::maxCommitted(std::string_view team, StoreTimeMs deadBy) const
{
    const auto found = teams.find(team);
    if (found == teams.end()) {
        return 0;
    }
    const StoreTimeMs end = std::min(deadBy, diedBefore.value_or(deadBy));
    return found->second.limitAfter(static_cast<double>(end - baseline) / s_msPerSecond);
}

std::string toText(const CheckpointRow &row)
{
    boost::json::array predecessors;
    for (const Checkpoint &checkpoint : row.predecessors) {
        predecessors.push_back(toJson(checkpoint));
    }
    return boost::json::serialize(boost::json::object{{"own", toJson(row.own)}, {"earlier", std::move(predecessors)}});
}

CheckpointRow checkpointRowFrom(const StoredRow &stored)
{
    CheckpointRow row;
    try {
        const boost::json::value value = boost::json::parse(stored.value);
        const boost::json::object &object = value.as_object();
        row.own = checkpointFrom(object.at("own"));
        for (const boost::json::value &predecessor : object.at("earlier").as_array()) {
            row.predecessors.push_back(checkpointFrom(predecessor));
        }
    } catch (const std::exception &problem) {
        logLine(Severity::Error, "checkpoint.row_unreadable", {{"router", stored.address.part}, {"detail", problem.what()}});
        return {};
    }
    return row;
}

}
