#pragma once

#include "clock/instant.h"
#include "engine/usagescanner.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// Why a sidecar declines an attempt. Each means that the engine has not had it: not run.
enum class RunRefusal {
    Full,
    Leaving,
    Sealed,
    WrongIncarnation,
    EngineUnreachable,
    Duplicate,
    Expired,
};

/// How a run at the engine ended.
enum class RunEnd {
    Complete,
    FailedAfterRunning,
    Cancelled,
    NotRun,
    Unknown,
};

/// The stable name of a run's end, as in metrics.
std::string_view runEndName(RunEnd end);

/// What a sidecar remembers of a run until its router says that it is billed.
struct RunRecord {
    std::string requestId;
    std::uint32_t attempt = 0;
    /// The incarnation whose grant pays.
    std::string router;
    std::string team;
    std::string budget;
    /// Worst case that the router has reserved.
    Tokens bound = 0;
    /// Number of the router's flush that can bill the run at the earliest; bounds a reclaimer's search of the ledger.
    std::uint64_t earliestFlush = 0;
    bool running = true;
    RunEnd end = RunEnd::Unknown;
    std::optional<TokenUsage> usage;
    /// What the run costs: known once it has ended, the bound until then.
    Tokens charged = 0;
};

/// A sidecar's answer to a reclaimer.
struct SealResult {
    /// True when the incarnation spoke here a moment ago and is therefore not dead.
    bool alive = false;
    /// False when an earlier process at this target may have run things for the incarnation that this one knows nothing of.
    bool complete = true;
    /// Runs of the incarnation that are not yet known to be billed.
    std::vector<RunRecord> runs;
};

/// What a sidecar lets its engine run, and what it knows of it. It is the fence (nothing of a sealed router incarnation starts) and the
/// witness (it remembers what ran even when the router is gone).
///
/// Pure: the sidecar's runtime drives it under one lock.
class RunTable
{
public:
    struct Options {
        /// This sidecar's own incarnation; an attempt meant for an earlier one is refused.
        std::string incarnation;
        /// Runs at a time, waiting ones at the engine included.
        std::uint32_t limit = 1;
        /// An incarnation heard of within this time is not sealed.
        Duration livenessWindow = std::chrono::seconds(5);
    };

    /// What an attempt brings with it.
    struct Attempt {
        std::string requestId;
        std::uint32_t attempt = 0;
        /// Who sends it, and whose grant pays: the sender's own when empty.
        std::string router;
        std::string payer;
        std::string targetIncarnation;
        std::string team;
        std::string budget;
        Tokens bound = 0;
        std::uint64_t earliestFlush = 0;
        Duration expiresIn{};
    };

    explicit RunTable(Options options);

    /// What the platform's table said of router incarnations when this process began. Nothing is admitted before: an incarnation declared
    /// dead while no process stood here would otherwise find an open door. Incarnations alive then may have had runs at an earlier process.
    void setKnownRouters(std::span<const std::string> live, std::span<const std::string> dead);

    /// The router has billed all that it gave to earlier processes here.
    void clearEarlierRuns(std::string_view router);

    /// Takes an attempt in, or says why not. A request id that is known here is not run again.
    std::optional<RunRefusal> admit(const Attempt &attempt, Instant now);

    /// The run ended. Returns what it costs: the engine's count within the bound; the whole bound when the engine ran it and gave none.
    Tokens finish(std::string_view requestId, RunEnd end, const std::optional<TokenUsage> &usage);

    /// The router has these in the table; they need not be remembered.
    void forget(std::string_view requestId);

    /// A router incarnation gave a sign of life.
    void heard(std::string_view router, Instant now);

    /// Asks whether the incarnation is alive, without consequence.
    SealResult probe(std::string_view router, Instant now) const;

    /// Refuses all later attempts of the incarnation, which the table has declared dead, and tells what it ran.
    SealResult seal(std::string_view router);

    /// From now on every attempt is refused as leaving.
    void beginDrain();

    /// True after begin().
    bool routersKnown() const
    {
        return m_routersKnown;
    }

    /// True once draining.
    bool draining() const
    {
        return m_draining;
    }

    /// Runs at the engine now.
    std::uint32_t running() const
    {
        return m_running;
    }

    /// The record of a request, or null.
    const RunRecord *find(std::string_view requestId) const;

    /// Records kept, running or unbilled.
    std::size_t recordCount() const
    {
        return m_records.size();
    }

    /// This sidecar's incarnation.
    const std::string &incarnation() const
    {
        return m_options.incarnation;
    }

private:
    Options m_options;
    absl::flat_hash_map<std::string, RunRecord> m_records;
    absl::flat_hash_set<std::string> m_sealed;
    absl::flat_hash_set<std::string> m_mayHaveEarlierRuns;
    absl::flat_hash_map<std::string, Instant> m_lastHeard;
    std::uint32_t m_running = 0;
    bool m_routersKnown = false;
    bool m_draining = false;
};

}
