#pragma once

namespace bamboohold {

/// How one attempt of a request at a target ended.
enum class AttemptOutcome {
    /// The caller has the whole answer.
    Delivered,
    /// The target did not run it, or was never reached.
    NotRun,
    /// The target ran it and failed; the failure can be passed on.
    Failed,
    /// It may have run; nothing usable came, or the stream broke off.
    Incomplete,
    /// The caller left.
    CallerDisconnected,
    /// The caller's or the route's time is over.
    TimedOut,
};

}
