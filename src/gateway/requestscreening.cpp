#include "gateway/requestscreening.h"

#include "clock/steadytime.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace bamboohold {

namespace {

/// An answer that has gone on for this long shows that its target can write answers on all parts of the prompt. A target that crashes as it
/// begins to write does so within tens of milliseconds, and its first event may still arrive.
constexpr Duration s_begunAnswerTime = std::chrono::milliseconds(300);
/// Maximum number of parts of one prompt that are screened. It bounds what a caller that makes up parts can cost.
constexpr std::size_t s_maxParts = 64;
/// Maximum number of parts in a log line.
constexpr std::size_t s_maxPartsLogged = 8;

}

RequestScreening::RequestScreening(PoisonGuard &guard, const HttpExchange &exchange)
    : m_guard(guard)
    , m_exchange(exchange)
{
}

void RequestScreening::identify(const Subject &subject)
{
    m_identified = true;
    m_team = subject.team;
    m_parts.clear();
    m_partsText.clear();
    // The last part belongs to this request, or to its session, alone.
    const std::size_t shared = subject.prompt.empty() ? 0 : std::min(subject.prompt.size() - 1, s_maxParts);
    for (const PromptPart &part : subject.prompt.first(shared)) {
        const RequestFingerprint fingerprint =
            RequestFingerprint::ofPart({.service = subject.service, .model = subject.model, .part = part.id});
        if (std::ranges::find(m_parts, fingerprint) != m_parts.end()) {
            continue;
        }
        if (m_parts.size() < s_maxPartsLogged) {
            absl::StrAppendFormat(&m_partsText, "%s%x", m_parts.empty() ? "" : ",", part.id);
        }
        m_parts.push_back(fingerprint);
    }
}

FingerprintSource RequestScreening::source() const
{
    const HttpRequest &request = m_exchange.request();
    return {.team = m_team,
            .method = request.method_string(),
            .host = m_exchange.header("Host"),
            .target = request.target(),
            .body = request.body()};
}

const FingerprintPair &RequestScreening::fingerprints()
{
    if (!m_fingerprints) {
        m_fingerprints = fingerprintsOf(source());
    }
    return *m_fingerprints;
}

std::vector<RequestFingerprint> RequestScreening::screenedFingerprints()
{
    std::vector<RequestFingerprint> screened;
    if (m_guard.mayContainAddress(RequestFingerprint::addressHash(source()))) {
        screened.assign(fingerprints().begin(), fingerprints().end());
    }
    screened.insert(screened.end(), m_parts.begin(), m_parts.end());
    return screened;
}

std::vector<RequestFingerprint> RequestScreening::accusedFingerprints()
{
    // The parts follow the core fingerprint, which is the same for all copies of the request.
    std::vector<RequestFingerprint> accused(fingerprints().rbegin(), fingerprints().rend());
    if (!m_answerGoesOn) {
        accused.insert(accused.end(), m_parts.begin(), m_parts.end());
    }
    return accused;
}

absl::Status RequestScreening::admit()
{
    // A request that crashes every target that begins to run it, or one of many with a part that does, is sent again and again. Each copy
    // that is forwarded takes down a target together with all other requests there. This router or its peers have seen it do so.
    if (m_onTrial || !mayBeQuarantined()) {
        return absl::OkStatus();
    }
    const std::vector<RequestFingerprint> screened = screenedFingerprints();
    const std::optional<Duration> remaining = m_guard.timeToNextTrial(screened);
    if (!remaining) {
        return absl::OkStatus();
    }
    m_onTrial = m_guard.beginTrial(screened);
    if (m_onTrial) {
        m_tried = screened;
        return absl::OkStatus();
    }
    return refusal(screened, *remaining);
}

absl::Status RequestScreening::recheck()
{
    if (m_onTrial || !mayBeQuarantined()) {
        return absl::OkStatus();
    }
    const std::vector<RequestFingerprint> screened = screenedFingerprints();
    const std::optional<Duration> remaining = m_guard.timeToNextTrial(screened);
    return remaining ? refusal(screened, *remaining) : absl::OkStatus();
}

bool RequestScreening::mayNotRunAgain()
{
    return mayBeQuarantined() && m_guard.timeToNextTrial(screenedFingerprints()).has_value();
}

absl::Status RequestScreening::refusal(std::span<const RequestFingerprint> screened, Duration remaining)
{
    m_guard.requestRefused(screened);
    const std::optional<RequestFingerprint> cause = m_guard.quarantinedOf(screened);
    m_quarantinedText = cause ? cause->text() : std::string();
    const bool part = cause && cause->isPart();
    return toStatus({.kind = FailureKind::Quarantined,
                     .detail = part ? absl::StrCat("targets crashed under requests with part ", cause->partText(), " of its prompt")
                                    : "targets crashed under this request",
                     .retryAfterMs = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count()});
}

void RequestScreening::notRun()
{
    if (m_onTrial) {
        m_guard.trialNotRun(m_tried);
    }
}

void RequestScreening::attemptSent(Instant at)
{
    m_sentAt = at;
    m_answerBegan.reset();
    m_answerGoesOn = false;
}

void RequestScreening::answerContinued(Instant at)
{
    if (!m_answerBegan) {
        m_answerBegan = at;
    } else if (!m_answerGoesOn && at - *m_answerBegan >= s_begunAnswerTime) {
        m_answerGoesOn = true;
        reportPartsAnswered();
    }
}

void RequestScreening::answerCompleted()
{
    if (m_guard.wantsAnswers(RequestFingerprint::addressHash(source()))) {
        m_guard.requestAnswered(fingerprints());
    }
    if (!m_answerGoesOn) {
        reportPartsAnswered();
    }
}

void RequestScreening::reportPartsAnswered()
{
    // Answers before the first crash count, too: they tell common parts from one that has never been answered.
    m_guard.partsAnswered(m_parts, m_answerBegan.value_or(m_sentAt));
}

void RequestScreening::attemptInterrupted(const Destination &destination)
{
    m_guard.attemptInterrupted(destination.incarnation, destination.address, accusedFingerprints());
}

void RequestScreening::callerDisconnected(const Destination &destination)
{
    m_guard.callerDisconnected(destination.incarnation, destination.address, accusedFingerprints());
}

}
