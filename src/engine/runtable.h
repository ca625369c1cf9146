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

/// Why a sidecar refused an attempt. A refused attempt was never sent to the engine, so it did not run.
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

/// Returns the name of a run's end as used in metrics. The names do not change between versions.
std::string_view runEndName(RunEnd end);

/// A sidecar's record of a run. It is kept until the router confirms that the run has been billed.
struct RunRecord {
    std::string requestId;
    std::uint32_t attempt = 0;
    /// The router incarnation whose grant pays for the run.
    std::string router;
    std::string team;
    std::string budget;
    /// Upper bound on the tokens used by the run, as reserved by the router.
    Tokens bound = 0;
    /// Number of the router's earliest flush that can bill the run. A reclaimer starts its search of the ledger there.
    std::uint64_t earliestFlush = 0;
    bool running = true;
    RunEnd end = RunEnd::Unknown;
    std::optional<TokenUsage> usage;
    /// Tokens charged for the run; equal to the bound until the run has ended.
    Tokens charged = 0;
};

/// A sidecar's reply to a router that is reclaiming the grants of a router incarnation.
struct SealResult {
    /// True if the sidecar has received a message from the incarnation within Options::livenessWindow, so it is not dead.
    bool alive = false;
    /// False if an earlier sidecar process of this target may have run requests of the incarnation, of which this process has no record.
    bool complete = true;
    /// The incarnation's runs that are not confirmed as billed.
    std::vector<RunRecord> runs;
};

/// Decides which attempts a sidecar admits to its engine and records the runs. It fences router incarnations (no attempt of a sealed
/// incarnation starts), and its records show what ran for a router that has died.
///
/// Performs no I/O and is not thread-safe: Sidecar accesses it under its mutex.
class RunTable
{
public:
    struct Options {
        /// This sidecar's incarnation. Attempts addressed to an earlier one are refused.
        std::string incarnation;
        /// Maximum number of concurrent runs, including those queued at the engine.
        std::uint32_t limit = 1;
        /// A router incarnation from which a message was received within this time counts as alive.
        Duration livenessWindow = std::chrono::seconds(5);
    };

    /// An attempt to run a request, as received from a router.
    struct Attempt {
        std::string requestId;
        std::uint32_t attempt = 0;
        /// The router incarnation that sent the attempt, and the one whose grant pays; if `payer` is empty, the sender's own grant pays.
        std::string router;
        std::string payer;
        std::string targetIncarnation;
        std::string team;
        std::string budget;
        Tokens bound = 0;
        std::uint64_t earliestFlush = 0;
        /// Time left until the request's deadline.
        Duration expiresIn{};
    };

    explicit RunTable(Options options);

    /// Sets the router incarnations that the platform's table listed when this process started. Until then no attempt is admitted, since an
    /// incarnation may have been declared dead while no sidecar was running here. All listed incarnations may have runs at an earlier
    /// process.
    void setKnownRouters(std::span<const std::string> live, std::span<const std::string> dead);

    /// Called when the router has billed all of its requests that earlier processes of this sidecar ran.
    void clearEarlierRuns(std::string_view router);

    /// Admits an attempt, or returns the reason for refusing it. An attempt whose request id is already recorded is refused as a duplicate.
    std::optional<RunRefusal> admit(const Attempt &attempt, Instant now);

    /// Records the end of a run and returns the tokens to charge: the engine's count, limited to the bound, or the whole bound if the
    /// engine may have run the request but gave no count. A request that did not run costs nothing and is removed.
    Tokens finish(std::string_view requestId, RunEnd end, const std::optional<TokenUsage> &usage);

    /// Removes the record of a finished run that its router has written to the table.
    void forget(std::string_view requestId);

    /// Records that a message from the router incarnation was received.
    void heard(std::string_view router, Instant now);

    /// Returns whether the incarnation is alive, without sealing it.
    SealResult probe(std::string_view router, Instant now) const;

    /// Seals an incarnation that the table has declared dead: all its later attempts are refused. Returns the runs recorded for it.
    SealResult seal(std::string_view router);

    /// Refuses all later attempts with RunRefusal::Leaving.
    void beginDrain();

    /// True after setKnownRouters().
    bool routersKnown() const
    {
        return m_routersKnown;
    }

    /// True after beginDrain().
    bool draining() const
    {
        return m_draining;
    }

    /// Number of current runs.
    std::uint32_t running() const
    {
        return m_running;
    }

    /// Returns the record of a request, or null if there is none.
    const RunRecord *find(std::string_view requestId) const;

    /// Number of records: current runs and runs that are not confirmed as billed.
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
