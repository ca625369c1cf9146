#pragma once

#include "gateway/callercodec.h"
#include "net/httpserver.h"
#include "quarantine/poisonguard.h"
#include "quarantine/requestfingerprint.h"

#include <absl/status/status.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// Asks the quarantine whether one request may be sent to targets, and reports to it what the attempts of the request show.
class RequestScreening
{
public:
    /// Which request it is.
    struct Subject {
        std::string_view team;
        std::string_view service;
        std::string_view model;
        std::span<const PromptPart> prompt;
    };

    /// Where an attempt was sent.
    struct Destination {
        const std::string &incarnation;
        const std::string &address;
    };

    /// Both references must outlive this object.
    RequestScreening(PoisonGuard &guard, const HttpExchange &exchange);

    /// Sets what identifies the request. Call once it is known; until then the request is not quarantined.
    void identify(const Subject &subject);

    /// Fails with Quarantined if the request, or a part of its prompt, is quarantined. Succeeds for any other request, and for one that is
    /// let through as a trial.
    absl::Status admit();

    /// As `admit`, for a request that was admitted before. It is not let through as a trial now.
    absl::Status recheck();

    /// Returns true if a request that a target may have run must not be sent to another one. The trial of a quarantined request is over
    /// then.
    bool mayNotRunAgain();

    /// Reports that no target may have run the request, if it was on trial.
    void notRun();

    /// An attempt was sent to a target.
    void attemptSent(Instant at);

    /// A part of a successful answer arrived, with at least one event if it is a stream.
    void answerContinued(Instant at);

    /// A successful answer is complete.
    void answerCompleted();

    /// An attempt broke off before its answer was complete, or its caller disconnected.
    void attemptInterrupted(const Destination &destination);
    void callerDisconnected(const Destination &destination);

    /// The core fingerprint of the request, by which logs name it.
    std::string fingerprintText()
    {
        return fingerprints().front().text();
    }

    /// The ids of the parts that requests may share, as callers name them.
    const std::string &partsText() const
    {
        return m_partsText;
    }

    /// What the request was refused for, empty unless it was.
    const std::string &quarantinedText() const
    {
        return m_quarantinedText;
    }

private:
    FingerprintSource source() const;
    /// Fingerprints that identify copies of the same request. Computed on first use, because hashing a long body takes milliseconds on a
    /// small host.
    const FingerprintPair &fingerprints();
    /// The fingerprints by which the request may be quarantined.
    std::vector<RequestFingerprint> screenedFingerprints();
    /// The fingerprints to which a crash of the target points. Parts on which it was writing an answer are not among them.
    std::vector<RequestFingerprint> accusedFingerprints();
    void reportPartsAnswered();
    absl::Status refusal(std::span<const RequestFingerprint> screened, Duration remaining);
    bool mayBeQuarantined() const
    {
        return m_identified && m_guard.holdsAny();
    }

    PoisonGuard &m_guard;
    const HttpExchange &m_exchange;
    bool m_identified = false;
    std::string m_team;
    std::optional<FingerprintPair> m_fingerprints;
    std::vector<RequestFingerprint> m_parts;
    std::string m_partsText;
    std::string m_quarantinedText;
    bool m_onTrial = false;
    /// The fingerprints that are on trial with this request.
    std::vector<RequestFingerprint> m_tried;
    /// Of the current attempt: when it was sent, when its answer began, and whether the answer has gone on since.
    Instant m_sentAt{};
    std::optional<Instant> m_answerBegan;
    bool m_answerGoesOn = false;
};

}
