#pragma once

#include "clock/instant.h"
#include "quarantine/requestfingerprint.h"

#include <cstddef>
#include <map>
#include <optional>

namespace bamboohold {

/// Remembers which requests recently received a complete response, and how often.
///
/// Pure decision code without I/O. A request that crashes its targets never receives a complete response, so each response is evidence that
/// the request was only running by coincidence when earlier targets crashed.
class AnswerMemory
{
public:
    struct Options {
        /// A response counts for this long. After that it proves little, since the target may have changed.
        Duration retention = std::chrono::minutes(1);
        /// Maximum number of requests remembered. When it is reached, the requests with the oldest responses are forgotten.
        std::size_t maxRequests = 4096;
    };

    AnswerMemory();
    explicit AnswerMemory(Options options);

    /// Records that this router delivered a complete response to the request.
    void addLocalAnswer(const RequestFingerprint &fingerprint, Instant at);

    /// Records that a peer reported a complete response to the request.
    void addPeerAnswer(const RequestFingerprint &fingerprint, Instant at);

    /// Returns the last response of this router if it came after `crash` and no response after `crash` has been announced to the peers yet,
    /// else nullopt. The response counts as announced from now on, so the caller must announce it.
    std::optional<Instant> takeUnannounced(const RequestFingerprint &fingerprint, Instant crash);

    /// Returns the time of the last response to the request, or nullopt if there was none or it has been forgotten.
    std::optional<Instant> lastAnswer(const RequestFingerprint &fingerprint) const;

    /// Returns the number of responses to the request, counted since the last pause between two responses that was longer than the
    /// retention time. Returns 0 if the last response is older than that.
    unsigned recentAnswerCount(const RequestFingerprint &fingerprint, Instant now) const;

    /// Removes outdated responses. Call this periodically.
    void expire(Instant now);

private:
    struct Answers {
        Instant last{};
        /// The last response of this router, and the last one of them that was announced to the peers.
        Instant lastLocal{};
        Instant lastAnnounced{};
        unsigned count = 0;
    };

    Options m_options;
    std::map<RequestFingerprint, Answers> m_answers;
};

}
