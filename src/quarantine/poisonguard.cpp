#include "quarantine/poisonguard.h"

#include "clock/steadytime.h"
#include "net/endpoint.h"
#include "net/pause.h"
#include "operations/log.h"
#include "quarantine/dropoldest.h"
#include "routing/stablehash.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <algorithm>
#include <array>

namespace bamboohold {

namespace {

constexpr auto s_tuple = boost::asio::as_tuple(boost::asio::use_awaitable);
/// A host without power does not respond to a connection attempt at all.
constexpr Duration s_probeTimeout = std::chrono::milliseconds(250);
/// Pauses before each probe of a target. The connections of a crashing process may close some time before its port does, so that a single
/// immediate probe would find the target alive. After the last probe there is still time to tell the peers well before every router must
/// know of the crash.
constexpr std::array<Duration, 4> s_probeDelays{
    Duration::zero(), std::chrono::milliseconds(100), std::chrono::milliseconds(400), std::chrono::milliseconds(1000)};
/// Collects the interruptions of all attempts on a crashed target into one report to each peer.
constexpr Duration s_collectTime = std::chrono::milliseconds(20);
/// What is announced of a part is announced once more after this time: a router that misses a verdict or a trial sends on requests that
/// crash targets, and few may.
constexpr Duration s_repeatDelay = std::chrono::milliseconds(200);
/// Bounds of the pause until the next verdict. The lower one avoids a busy loop. Evidence that is completed during a pause may be decided
/// on sooner than what was known before.
constexpr Duration s_minVerdictPause = std::chrono::milliseconds(5);
constexpr Duration s_maxVerdictPause = std::chrono::milliseconds(100);

std::int64_t inMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::int64_t inSeconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::seconds>(duration).count();
}

}

PoisonGuard::PoisonGuard(boost::asio::any_io_executor executor, Metrics &metrics, Quarantine::Options options)
    : m_executor(std::move(executor))
    , m_metrics(metrics)
    , m_quarantine(options)
    , m_storeUpdateNeeded(m_executor)
    , m_expectedToEnd([](const std::string &) {
        return false;
    })
    , m_announceCrash([](const CrashReport &) {})
    , m_announceChange([](const QuarantineChange &) {})
{
}

void PoisonGuard::setExpectedToEnd(std::function<bool(const std::string &)> expectedToEnd)
{
    m_expectedToEnd = std::move(expectedToEnd);
}

void PoisonGuard::setAnnouncers(std::function<void(const CrashReport &)> crash, std::function<void(const QuarantineChange &)> change)
{
    m_announceCrash = std::move(crash);
    m_announceChange = std::move(change);
}

void PoisonGuard::attemptInterrupted(const std::string &incarnation,
                                     const std::string &address,
                                     std::span<const RequestFingerprint> fingerprints)
{
    if (m_expectedToEnd(incarnation)) {
        return;
    }
    switch (m_watch.attemptInterrupted(incarnation, fingerprints, steadyNow())) {
    case CrashWatch::Action::Wait:
        break;
    case CrashWatch::Action::Probe:
        boost::asio::co_spawn(m_executor, probeTarget(incarnation, address), boost::asio::detached);
        break;
    case CrashWatch::Action::Report:
        reportCrash({.target = stableHash(incarnation),
                     .inFlight = {fingerprints.begin(), fingerprints.end()},
                     .ago = timeSinceInterruption(incarnation)},
                    incarnation);
        break;
    }
}

boost::asio::awaitable<void> PoisonGuard::probeTarget(std::string incarnation, std::string address)
{
    for (const Duration wait : s_probeDelays) {
        if (wait > Duration::zero()) {
            co_await pause(wait);
        }
        if (m_expectedToEnd(incarnation)) {
            break;
        }
        const bool refused = co_await refusesConnections(address);
        if (refused) {
            co_await pause(s_collectTime);
            reportCrash({.target = stableHash(incarnation),
                         .inFlight = m_watch.connectionRefused(incarnation, steadyNow()),
                         .ago = timeSinceInterruption(incarnation)},
                        incarnation);
            co_return;
        }
        announceInterrupted(incarnation);
    }
    m_watch.targetAlive(incarnation);
}

boost::asio::awaitable<bool> PoisonGuard::refusesConnections(std::string address)
{
    boost::beast::tcp_stream stream(m_executor);
    stream.expires_after(s_probeTimeout);
    const auto endpoint = endpointFrom(address).value_or(boost::asio::ip::tcp::endpoint());
    const auto [error] = co_await stream.async_connect(endpoint, s_tuple);
    co_return error == boost::asio::error::connection_refused;
}

void PoisonGuard::callerDisconnected(const std::string &incarnation,
                                     const std::string &address,
                                     std::span<const RequestFingerprint> fingerprints)
{
    if (m_quarantine.isTracked(fingerprints.front())) {
        // The request was in flight at an earlier crash. The target is probed, because this router may have no other connection there whose
        // end would show a crash.
        attemptInterrupted(incarnation, address, fingerprints);
        return;
    }
    m_watch.callerDisconnected(incarnation, fingerprints, steadyNow());
}

void PoisonGuard::announceInterrupted(const std::string &incarnation)
{
    std::vector<RequestFingerprint> unannounced = m_watch.takeUnannounced(incarnation);
    const Instant since = m_watch.interruptedSince(incarnation, steadyNow());
    unannounced = m_quarantine.unansweredSince(unannounced, since);
    if (!unannounced.empty()) {
        m_announceCrash({.target = stableHash(incarnation),
                         .inFlight = std::move(unannounced),
                         .confirmed = false,
                         .ago = timeSinceInterruption(incarnation)});
    }
}

Duration PoisonGuard::timeSinceInterruption(const std::string &incarnation) const
{
    const Instant now = steadyNow();
    return now - m_watch.interruptedSince(incarnation, now);
}

void PoisonGuard::reportCrash(CrashReport crash, std::string_view target)
{
    logLine(Severity::Warning, "target.crashed", {{"target", target}, {"under_way", static_cast<std::int64_t>(crash.inFlight.size())}});
    m_metrics.count("crash_reports_total", {.name = "from", .value = "here"});
    crash.inFlight = m_quarantine.unansweredSince(crash.inFlight, steadyNow() - crash.ago);
    m_announceCrash(crash);
    const std::vector<RequestFingerprint> peers = m_watch.confirmCrash(crash.target, steadyNow());
    crash.inFlight.insert(crash.inFlight.end(), peers.begin(), peers.end());
    applyCrash(crash, target);
}

void PoisonGuard::announceAnswers(const CrashReport &crash)
{
    const Instant now = steadyNow();
    for (const RequestFingerprint &fingerprint : crash.inFlight) {
        if (const std::optional<Instant> answered = m_quarantine.takeUnannouncedAnswer(fingerprint, now - crash.ago)) {
            m_announceChange({.fingerprint = fingerprint, .remaining = *answered - now});
        }
    }
}

void PoisonGuard::applyCrash(const CrashReport &crash, std::string_view name)
{
    announceAnswers(crash);
    const Instant now = steadyNow();
    for (const RequestFingerprint &fingerprint : m_quarantine.recordCrash(crash.target, crash.inFlight, now, crash.ago)) {
        logQuarantined(fingerprint, name);
        m_unsavedAcquittals.erase(fingerprint);
        if (fingerprint.isPart()) {
            // Other targets may have ended together with that of the trial, which is known a moment later.
            boost::asio::co_spawn(m_executor, announceAgain(fingerprint), boost::asio::detached);
            continue;
        }
        announceEntry(fingerprint);
        m_storeUpdateNeeded.notify();
    }
    prepareVerdicts();
    updateGauges();
}

void PoisonGuard::logQuarantined(const RequestFingerprint &fingerprint, std::string_view by) const
{
    const auto found = m_quarantine.entries().find(fingerprint);
    if (found == m_quarantine.entries().end()) {
        // One crash may quarantine more requests than are kept.
        return;
    }
    const Quarantine::Entry &entry = found->second;
    logLine(Severity::Warning,
            "request.quarantined",
            {{"fingerprint", fingerprint.text()},
             {"part", fingerprint.partText()},
             {"by", by},
             {"crashes", static_cast<std::int64_t>(entry.crashedTargets.size())},
             {"trials", static_cast<std::int64_t>(entry.trials)},
             {"for_s", inSeconds(entry.nextTrial - steadyNow())}});
}

void PoisonGuard::prepareVerdicts()
{
    const Instant now = steadyNow();
    for (Quarantine::KnownCrash &crash : m_quarantine.takeCompleteEvidence()) {
        for (const RequestFingerprint &fingerprint : crash.inFlight) {
            logLine(Severity::Info,
                    "part.suspected",
                    {{"fingerprint", fingerprint.text()}, {"part", fingerprint.partText()}, {"since_ms", inMs(now - crash.at)}});
        }
        m_announceCrash({.target = crash.target, .inFlight = std::move(crash.inFlight), .ago = now - crash.at});
    }
    if (!m_deciding && m_quarantine.nextVerdict(now)) {
        m_deciding = true;
        boost::asio::co_spawn(m_executor, decideParts(), boost::asio::detached);
    }
}

boost::asio::awaitable<void> PoisonGuard::decideParts()
{
    std::optional<Instant> due = m_quarantine.nextVerdict(steadyNow());
    while (due) {
        co_await pause(std::clamp(Duration(*due - steadyNow()), s_minVerdictPause, s_maxVerdictPause));
        for (const RequestFingerprint &fingerprint : m_quarantine.decideParts(steadyNow())) {
            logQuarantined(fingerprint, "its crashes");
            announceEntry(fingerprint);
            m_unsavedAcquittals.erase(fingerprint);
            m_storeUpdateNeeded.notify();
        }
        updateGauges();
        due = m_quarantine.nextVerdict(steadyNow());
    }
    m_deciding = false;
}

void PoisonGuard::requestAnswered(const FingerprintPair &fingerprints)
{
    for (const RequestFingerprint &fingerprint : fingerprints) {
        acquit(fingerprint, steadyNow());
    }
}

void PoisonGuard::partsAnswered(std::span<const RequestFingerprint> parts, Instant began)
{
    for (const RequestFingerprint &part : parts) {
        acquit(part, began);
    }
}

bool PoisonGuard::wantsAnswers(std::uint64_t addressHash) const
{
    return m_watch.recentlyInterrupted(steadyNow()) || m_quarantine.mayContainAddress(addressHash);
}

void PoisonGuard::acquit(const RequestFingerprint &fingerprint, Instant answered)
{
    const bool wasQuarantined = m_quarantine.entries().contains(fingerprint);
    if (!m_quarantine.recordAnswer(fingerprint, answered)) {
        return;
    }
    m_metrics.count("acquittals_total", {.name = "state", .value = wasQuarantined ? "held" : "suspected"});
    m_announceChange({.fingerprint = fingerprint, .remaining = answered - steadyNow()});
    // Only quarantined requests are logged: after a crash there are many suspects, and most are acquitted when their caller retries.
    if (wasQuarantined) {
        logLine(Severity::Info,
                "request.acquitted",
                {{"fingerprint", fingerprint.text()}, {"part", fingerprint.partText()}, {"by", "an answer"}});
        m_unsavedAcquittals.insert(fingerprint);
        rememberAcquittal(fingerprint, answered);
        m_storeUpdateNeeded.notify();
        prepareVerdicts();
    }
    updateGauges();
}

std::optional<Duration> PoisonGuard::timeToNextTrial(std::span<const RequestFingerprint> fingerprints) const
{
    return m_quarantine.timeToNextTrial(fingerprints, steadyNow());
}

std::optional<RequestFingerprint> PoisonGuard::quarantinedOf(std::span<const RequestFingerprint> fingerprints) const
{
    const Instant now = steadyNow();
    std::optional<RequestFingerprint> longest;
    std::optional<Duration> remaining;
    for (const RequestFingerprint &fingerprint : fingerprints) {
        // As a request of its own, since a part may be quarantined under another service or model only.
        const std::optional<Duration> next = m_quarantine.timeToNextTrial(std::span(&fingerprint, 1), now);
        if (next > remaining) {
            longest = fingerprint;
            remaining = next;
        }
    }
    return longest;
}

void PoisonGuard::requestRefused(std::span<const RequestFingerprint> fingerprints)
{
    m_quarantine.recordRefusal(fingerprints, steadyNow());
}

QuarantineChange PoisonGuard::changeOf(const RequestFingerprint &fingerprint, const Quarantine::Entry &entry) const
{
    const Instant now = steadyNow();
    return {.fingerprint = fingerprint,
            .remaining = entry.nextTrial - now,
            .quarantineLevel = entry.quarantineLevel,
            .trials = entry.trials,
            .answers = entry.answers,
            .sinceCrash = now - entry.lastCrash,
            .jointTrial = entry.jointTrial};
}

void PoisonGuard::announceEntry(const RequestFingerprint &fingerprint, bool trialBegins)
{
    const auto found = m_quarantine.entries().find(fingerprint);
    if (found == m_quarantine.entries().end()) {
        return;
    }
    QuarantineChange change = changeOf(fingerprint, found->second);
    change.trialBegins = trialBegins;
    m_announceChange(change);
    if (fingerprint.isPart()) {
        boost::asio::co_spawn(m_executor, announceAgain(fingerprint), boost::asio::detached);
    }
}

boost::asio::awaitable<void> PoisonGuard::announceAgain(RequestFingerprint fingerprint)
{
    co_await pause(s_repeatDelay);
    const auto found = m_quarantine.entries().find(fingerprint);
    if (found != m_quarantine.entries().end()) {
        m_announceChange(changeOf(fingerprint, found->second));
        m_storeUpdateNeeded.notify();
    }
}

std::vector<QuarantineChange> PoisonGuard::knownEntries() const
{
    std::vector<QuarantineChange> changes;
    for (const auto &[fingerprint, entry] : m_quarantine.entries()) {
        changes.push_back(changeOf(fingerprint, entry));
        changes.back().trialMayBeUnderWay = false;
    }
    return changes;
}

bool PoisonGuard::beginTrial(std::span<const RequestFingerprint> fingerprints)
{
    const Instant now = steadyNow();
    if (!m_quarantine.mayBeginTrial(fingerprints, now)) {
        return false;
    }
    m_quarantine.beginTrial(fingerprints, now);
    for (const RequestFingerprint &fingerprint : fingerprints) {
        if (m_quarantine.entries().contains(fingerprint)) {
            m_unsavedTrials.insert(fingerprint);
            announceEntry(fingerprint, true);
        }
    }
    m_storeUpdateNeeded.notify();
    const RequestFingerprint onTrial = quarantinedOf(fingerprints).value_or(fingerprints.front());
    logLine(Severity::Info, "request.on_trial", {{"fingerprint", onTrial.text()}, {"part", onTrial.partText()}});
    return true;
}

void PoisonGuard::trialNotRun(std::span<const RequestFingerprint> fingerprints)
{
    for (const RequestFingerprint &fingerprint : fingerprints) {
        m_quarantine.trialNotRun(fingerprint, steadyNow());
    }
}

std::vector<CrashReport> PoisonGuard::knownCrashes() const
{
    const Instant now = steadyNow();
    std::vector<CrashReport> reports;
    for (Quarantine::KnownCrash &crash : m_quarantine.knownCrashes()) {
        reports.push_back({.target = crash.target, .inFlight = std::move(crash.inFlight), .ago = now - crash.at});
    }
    for (CrashWatch::UnconfirmedCrash &unconfirmed : m_watch.unconfirmedCrashes(now)) {
        reports.push_back({.target = unconfirmed.target,
                           .inFlight = std::move(unconfirmed.inFlight),
                           .confirmed = false,
                           .ago = now - unconfirmed.since});
    }
    return reports;
}

void PoisonGuard::handleCrashReport(const CrashReport &report)
{
    constexpr std::string_view reportedBy = "reported by a peer";
    const Instant now = steadyNow();
    if (!report.confirmed) {
        if (const std::vector<RequestFingerprint> known = m_watch.peerAttemptsInterrupted(report.target, report.inFlight, now);
            !known.empty()) {
            applyCrash({.target = report.target, .inFlight = known, .ago = report.ago}, reportedBy);
        }
        return;
    }
    m_metrics.count("crash_reports_total", {.name = "from", .value = "peer"});
    if (std::vector<RequestFingerprint> cancelled = m_watch.takeCancelled(report.target, now); !cancelled.empty()) {
        this->reportCrash({.target = report.target, .inFlight = std::move(cancelled), .ago = report.ago}, reportedBy);
    }
    // The peer that had these requests in flight may have terminated since it announced them, so that no other router reports them.
    applyCrash({.target = report.target, .inFlight = m_watch.confirmCrash(report.target, now), .ago = report.ago}, reportedBy);
    announceAnswers(report);
    // The router whose crash detection completes the evidence tells the peers and the store. Here the request is only quarantined sooner.
    for (const RequestFingerprint &fingerprint : m_quarantine.recordCrash(report.target, report.inFlight, now, report.ago)) {
        logQuarantined(fingerprint, "crash reports of peers");
    }
    prepareVerdicts();
    updateGauges();
}

void PoisonGuard::applyChange(const QuarantineChange &change, std::string_view from)
{
    const Instant now = steadyNow();
    const bool acquits = change.quarantineLevel == 0;
    const bool wasQuarantined = m_quarantine.entries().contains(change.fingerprint);
    const Quarantine::EntryState state{.nextTrial = now + change.remaining,
                                       .quarantineLevel = change.quarantineLevel,
                                       .trials = change.trials,
                                       .answers = change.answers,
                                       .lastCrash = now - change.sinceCrash,
                                       .jointTrial = change.jointTrial,
                                       .trialMayBeUnderWay = change.trialMayBeUnderWay,
                                       .trialBegins = change.trialBegins};
    const bool isNew = acquits ? m_quarantine.recordPeerAnswer(change.fingerprint, now + std::min(change.remaining, Duration::zero()))
                               : m_quarantine.mergeEntry(change.fingerprint, state, now);
    if (isNew) {
        updateGauges();
    }
    if (acquits && wasQuarantined) {
        rememberAcquittal(change.fingerprint, now + std::min(change.remaining, Duration::zero()));
        prepareVerdicts();
    }
    if (isNew && (wasQuarantined || !acquits)) {
        logLine(Severity::Info,
                acquits ? "request.acquitted" : "request.quarantined",
                {{"fingerprint", change.fingerprint.text()},
                 {"part", change.fingerprint.partText()},
                 {"by", from},
                 {"for_s", inSeconds(change.remaining)}});
    }
    if (!acquits && change.fingerprint.isPart()) {
        contradict(change, state.lastCrash);
    }
}

void PoisonGuard::contradict(const QuarantineChange &change, Instant lastCrash)
{
    const std::optional<Instant> answered = m_quarantine.answeredSince(change.fingerprint, lastCrash);
    if (!answered) {
        return;
    }
    if (m_quarantine.takeUnannouncedAnswer(change.fingerprint, lastCrash)) {
        m_announceChange({.fingerprint = change.fingerprint, .remaining = *answered - steadyNow()});
    }
    // The peer may have written a row already.
    m_unsavedAcquittals.insert(change.fingerprint);
    rememberAcquittal(change.fingerprint, *answered);
    m_storeUpdateNeeded.notify();
}

void PoisonGuard::release(const RequestFingerprint &fingerprint)
{
    if (m_quarantine.acquit(fingerprint)) {
        updateGauges();
        prepareVerdicts();
        logLine(Severity::Info,
                "request.acquitted",
                {{"fingerprint", fingerprint.text()}, {"part", fingerprint.partText()}, {"by", "the store"}});
    }
}

void PoisonGuard::rememberAcquittal(const RequestFingerprint &fingerprint, Instant at)
{
    Instant &last = m_recentAcquittals[fingerprint];
    last = std::max(last, at);
    if (m_recentAcquittals.size() > m_quarantine.options().maxEntries) {
        dropOldestQuarter(m_recentAcquittals, std::identity{});
    }
}

void PoisonGuard::markAcquittalsUnsaved()
{
    const Instant now = steadyNow();
    for (const auto &[fingerprint, at] : m_recentAcquittals) {
        if (now - at <= s_acquittalRetention && !m_quarantine.entries().contains(fingerprint)) {
            m_unsavedAcquittals.insert(fingerprint);
        }
    }
}

void PoisonGuard::expire()
{
    const Instant now = steadyNow();
    m_watch.expire(now);
    m_quarantine.expire(now);
    std::erase_if(m_recentAcquittals, [now](const auto &acquittal) {
        return now - acquittal.second > s_acquittalRetention;
    });
}

void PoisonGuard::updateGauges() const
{
    const auto countParts = [](const auto &map) {
        return static_cast<std::int64_t>(std::ranges::count_if(map, [](const auto &entry) {
            return entry.first.isPart();
        }));
    };
    const std::int64_t heldParts = countParts(m_quarantine.entries());
    const std::int64_t suspectedParts = countParts(m_quarantine.suspectsByFingerprint());
    const auto held = static_cast<std::int64_t>(m_quarantine.entries().size());
    const auto suspected = static_cast<std::int64_t>(m_quarantine.suspects());
    m_metrics.gauge("quarantine_requests", {.name = "state", .value = "held"}, held - heldParts);
    m_metrics.gauge("quarantine_requests", {.name = "state", .value = "suspected"}, suspected - suspectedParts);
    m_metrics.gauge("quarantine_parts", {.name = "state", .value = "held"}, heldParts);
    m_metrics.gauge("quarantine_parts", {.name = "state", .value = "suspected"}, suspectedParts);
}

}
