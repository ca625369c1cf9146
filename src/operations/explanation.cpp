#include "operations/explanation.h"

#include <absl/strings/str_cat.h>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <array>

namespace bamboohold {

namespace {

/// Events of the team, target or host up to this long before the end of a request are considered related to it. This is longer than any
/// store outage that a holding is meant to bridge.
constexpr std::int64_t s_contextWindowMs = 12'000;

constexpr std::string_view s_requestEnded = "request.ended";
constexpr std::string_view s_attemptEnded = "attempt.ended";
constexpr std::string_view s_quarantined = "request.quarantined";

constexpr std::array s_teamEvents{
    std::string_view("budget.store_lost"),
    std::string_view("budget.store_regained"),
    std::string_view("budget.recovered"),
    std::string_view("budget.fenced"),
    std::string_view("budget.loan_short"),
    std::string_view("budget.prepaid"),
};

constexpr std::array s_hostEvents{
    std::string_view("router.started"),
    std::string_view("router.draining"),
    std::string_view("store.lost"),
    std::string_view("store.regained"),
    std::string_view("plan.in_force"),
    std::string_view("checkpoint.store_lost"),
    std::string_view("checkpoint.store_regained"),
    std::string_view("checkpoint.fenced"),
};

bool isOneOf(std::span<const std::string_view> events, const LogEntry &entry)
{
    return std::ranges::find(events, entry.event) != events.end();
}

/// Returns true when the entry belongs to the request itself, or to its team, target or host within the context window before the request
/// ended.
bool isRelevantTo(const LogEntry &entry, const LogEntry &end, std::string_view requestId)
{
    if (entry.text("request") == requestId) {
        return true;
    }
    // Whatever a request is refused for may have been quarantined long before, and by any router.
    const std::string quarantined = end.text("quarantined");
    if (!quarantined.empty() && entry.timeMs <= end.timeMs && entry.text("fingerprint") == quarantined) {
        return true;
    }
    const bool inTime = entry.timeMs <= end.timeMs && end.timeMs - entry.timeMs <= s_contextWindowMs;
    if (!inTime) {
        return false;
    }
    const bool sameHost = entry.host == end.host;
    const bool aboutTeam = sameHost && isOneOf(s_teamEvents, entry) && entry.text("team") == end.text("team");
    const bool aboutTarget = sameHost && entry.event.starts_with("target.") && entry.text("target") == end.text("target");
    return aboutTeam || aboutTarget || (sameHost && isOneOf(s_hostEvents, entry));
}

/// Returns the last entry with this event, or null when there is none.
const LogEntry *last(const Explanation &explanation, std::string_view event)
{
    const auto found = std::ranges::find(explanation.entries.rbegin(), explanation.entries.rend(), event, &LogEntry::event);
    return found == explanation.entries.rend() ? nullptr : &*found;
}

/// Returns the time in milliseconds from the last lostEvent to the end of the request. Empty when there was none or when a regainedEvent
/// followed it.
std::optional<std::int64_t>
outageDurationMs(const Explanation &explanation, const LogEntry &end, std::string_view lostEvent, std::string_view regainedEvent)
{
    const LogEntry *lost = last(explanation, lostEvent);
    const LogEntry *regained = last(explanation, regainedEvent);
    if (lost == nullptr || (regained != nullptr && regained->timeMs > lost->timeMs)) {
        return std::nullopt;
    }
    return end.timeMs - lost->timeMs;
}

/// Returns how long the router had been without the store, in milliseconds: according to the rows of the team or, on a router that keeps
/// none of them, according to its checkpoints.
std::optional<std::int64_t> storeOutageMs(const Explanation &explanation, const LogEntry &end)
{
    const auto rows = outageDurationMs(explanation, end, "budget.store_lost", "budget.store_regained");
    return rows ? rows : outageDurationMs(explanation, end, "checkpoint.store_lost", "checkpoint.store_regained");
}

std::string budgetCause(const Explanation &explanation, const LogEntry &end)
{
    if (end.text("outcome") == "budget_exhausted") {
        return absl::StrCat("the prepaid tokens of team ", end.text("team"), " do not cover it: ", end.text("detail"));
    }
    if (const auto outageMs = storeOutageMs(explanation, end)) {
        return absl::StrCat("router ",
                            end.host,
                            " had been without the store for ",
                            *outageMs,
                            " ms and neither held enough nor could borrow it: ",
                            end.text("detail"));
    }
    if (const LogEntry *recovered = last(explanation, "budget.recovered")) {
        return absl::StrCat("router ",
                            end.host,
                            " had restarted ",
                            end.timeMs - recovered->timeMs,
                            " ms before and did not hold enough yet: ",
                            end.text("detail"));
    }
    if (const LogEntry *loan = last(explanation, "budget.loan_short")) {
        return absl::StrCat("router ",
                            end.host,
                            " held too little, and the routers that keep the budget lent it ",
                            loan->number("lent"),
                            " of ",
                            loan->number("wanted"),
                            " tokens ",
                            end.timeMs - loan->timeMs,
                            " ms before: ",
                            end.text("detail"));
    }
    return absl::StrCat("router ", end.host, " held too little at that moment and got no more in time: ", end.text("detail"));
}

std::string targetCause(const Explanation &explanation, const LogEntry &end)
{
    const LogEntry *attempt = last(explanation, s_attemptEnded);
    if (attempt == nullptr) {
        return absl::StrCat("no target of service ", end.text("service"), " could be asked: ", end.text("detail"));
    }
    std::string cause = absl::StrCat("target ",
                                     attempt->text("target"),
                                     " after ",
                                     attempt->number("after_ms"),
                                     " ms and ",
                                     attempt->number("events"),
                                     " events: ",
                                     attempt->text("problem"));
    if (const LogEntry *gone = last(explanation, "target.unlisted")) {
        absl::StrAppend(&cause, "; the list lost it ", end.timeMs - gone->timeMs, " ms before");
    }
    return cause;
}

std::string quarantineCause(const Explanation &explanation, const LogEntry &end)
{
    const LogEntry *quarantined = last(explanation, s_quarantined);
    if (quarantined == nullptr) {
        return end.text("detail");
    }
    const std::string part = quarantined->text("part");
    return absl::StrCat(part.empty() ? "the request" : absl::StrCat("part ", part, " of its prompt"),
                        " was at ",
                        quarantined->number("crashes"),
                        " crashes of targets, by the word of router ",
                        quarantined->host,
                        " (",
                        quarantined->text("by"),
                        ") ",
                        end.timeMs - quarantined->timeMs,
                        " ms before; trials so far: ",
                        quarantined->number("trials"),
                        "; ",
                        end.text("detail"));
}

std::string causeOf(const Explanation &explanation, const LogEntry &end)
{
    const std::string outcome = end.text("outcome");
    if (outcome.starts_with("budget_")) {
        return budgetCause(explanation, end);
    }
    if (outcome == "quarantined") {
        return quarantineCause(explanation, end);
    }
    if (outcome == "answered") {
        return absl::StrCat("answered; first byte after ", end.number("first_byte_ms"), " ms");
    }
    if (outcome == "caller_left") {
        return absl::StrCat("the caller closed its connection after ", end.number("total_ms"), " ms");
    }
    if (outcome == "draining") {
        return absl::StrCat("router ", end.host, ": ", end.text("detail"));
    }
    if (end.number("attempts") > 0 || outcome == "no_target") {
        return targetCause(explanation, end);
    }
    return end.text("detail");
}

}

std::string LogEntry::text(std::string_view name) const
{
    const auto *value = fields.if_contains({name.data(), name.size()});
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::int64_t LogEntry::number(std::string_view name) const
{
    const auto *value = fields.if_contains({name.data(), name.size()});
    return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

std::optional<LogEntry> readLogEntry(std::string_view line)
{
    const std::size_t begin = line.find('{');
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    boost::json::error_code error;
    boost::json::value value = boost::json::parse({line.data() + begin, line.size() - begin}, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    LogEntry entry{.fields = std::move(value.get_object())};
    entry.timeMs = entry.number("time_ms");
    entry.event = entry.text("event");
    entry.host = entry.text("host");
    return entry;
}

Explanation explainRequest(std::span<const LogEntry> log, std::string_view requestId)
{
    Explanation explanation;
    const auto ended = std::ranges::find_if(log, [requestId](const LogEntry &entry) {
        return entry.event == s_requestEnded && entry.text("request") == requestId;
    });
    if (ended == log.end()) {
        explanation.cause =
            "no log has the end of this request: it never reached a router whole, its router died with it, or it went well and "
            "was not among the sampled ones";
        return explanation;
    }
    std::ranges::copy_if(log, std::back_inserter(explanation.entries), [&](const LogEntry &entry) {
        return isRelevantTo(entry, *ended, requestId);
    });
    std::ranges::stable_sort(explanation.entries, {}, &LogEntry::timeMs);
    explanation.outcome = ended->text("outcome");
    explanation.cause = causeOf(explanation, *ended);
    return explanation;
}

}
