#pragma once

#include "clock/instant.h"
#include "quarantine/requestfingerprint.h"

#include <cstddef>
#include <map>
#include <optional>

namespace bamboohold {

/// Which requests were answered whole lately, and how often.
///
/// Pure. A request that crashes the targets it runs on gets no whole answer, so that each answer speaks for the request: it was under way
/// by chance at the crashes before it.
class AnswerMemory
{
public:
    struct Options {
        /// An answer counts for this long: a target may have changed since.
        Duration memory = std::chrono::minutes(1);
        /// Requests remembered; beyond, the ones answered longest ago are forgotten.
        std::size_t most = 4096;
    };

    AnswerMemory();
    explicit AnswerMemory(Options options);

    /// The request was answered whole here.
    void note(const RequestFingerprint &fingerprint, Instant at);

    /// The request was answered whole by a peer, which tells of it.
    void noteElsewhere(const RequestFingerprint &fingerprint, Instant at);

    /// The last answer here, if it came after `crash` and the peers were told of none after that; from now on they were, by the caller.
    std::optional<Instant> takeUntold(const RequestFingerprint &fingerprint, Instant crash);

    /// When the request was answered last; none when it was not, or that is forgotten.
    std::optional<Instant> lastAnswer(const RequestFingerprint &fingerprint) const;

    /// Answers to the request, up to the last pause between two of them that was longer than the memory.
    unsigned answers(const RequestFingerprint &fingerprint, Instant now) const;

    /// Forgets what is long past. Call now and then.
    void expire(Instant now);

private:
    struct Answers {
        Instant last{};
        /// The last one here, and the last one here that the peers were told of.
        Instant here{};
        Instant told{};
        unsigned count = 0;
    };

    Options m_options;
    std::map<RequestFingerprint, Answers> m_answers;
};

}
