#pragma once

namespace bamboohold {

/// Result of one attempt to have a target serve a request.
enum class AttemptOutcome {
    /// The complete response was delivered to the caller.
    Delivered,
    /// The target declined the request or was never reached, so it did not run.
    NotRun,
    /// The target ran the request and answered with a failure, which can be forwarded to the caller.
    Failed,
    /// The request may have run, but no usable response arrived, or the stream was interrupted.
    Incomplete,
    /// The caller disconnected.
    CallerDisconnected,
    /// The timeout of the caller or of the route expired.
    TimedOut,
};

}
