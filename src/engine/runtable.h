#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "clock/instant.h"
#include "engine/usagescanner.h"

namespace bamboohold
{

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

/// What a sidecar remembers of a run until its router says that it is billed.
struct RunRecord {
    std::string requestId;
    std::uint32_t attempt = 0;
    std::string router;
    std::string team;
    std::string budget;
    /// Worst case that the router has reserved.
    Tokens bound = 0;
    bool running = true;
    RunEnd end = RunEnd::Unknown;
    /// What the run costs: known once it has ended, the bound until then.
    Tokens charged = 0;
};

/// A sidecar's answer to a reclaimer.
struct SealVerdict {
    /// True when the incarnation spoke here a moment ago and is therefore not dead.
    bool refused = false;
    /// Runs of the incarnation that are not yet known to be billed.
    std::vector<RunRecord> runs;
};

/// What a sidecar lets its engine run, and what it knows of it. It is the fence (nothing of a sealed router incarnation starts) and the witness (it
/// remembers what ran even when the router is gone).
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
        std::string router;
        std::string targetIncarnation;
        std::string team;
        std::string budget;
        Tokens bound = 0;
        Duration expiresIn{};
    };

    explicit RunTable(Options options);

    /// Takes an attempt in, or says why not. A request id that is known here is not run again.
    std::optional<RunRefusal> admit(const Attempt &attempt, Instant now);

    /// The run ended. Returns what it costs: the engine's count within the bound; the whole bound when the engine ran it and gave none.
    Tokens finish(std::string_view requestId, RunEnd end, const std::optional<TokenUsage> &usage);

    /// The router has these in the table; they need not be remembered.
    void forget(std::string_view requestId);

    /// A router incarnation gave a sign of life.
    void heard(std::string_view router, Instant now);

    /// Refuses all later attempts of the incarnation, unless it spoke a moment ago.
    SealVerdict seal(std::string_view router, std::uint64_t epoch, Instant now);

    /// From now on every attempt is refused as leaving.
    void beginDrain();

    /// True once draining.
    bool leaving() const
    {
        return m_leaving;
    }

    /// Runs at the engine now.
    std::uint32_t running() const
    {
        return m_running;
    }

    /// The record of a request, or null.
    const RunRecord *find(std::string_view requestId) const;

    /// Records kept, running or unbilled.
    std::size_t records() const
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
    absl::flat_hash_map<std::string, std::uint64_t> m_sealed;
    absl::flat_hash_map<std::string, Instant> m_heard;
    std::uint32_t m_running = 0;
    bool m_leaving = false;
};

}
