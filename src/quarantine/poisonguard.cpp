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

std::int64_t inSeconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::seconds>(duration).count();
}

}

PoisonGuard::PoisonGuard(boost::asio::any_io_executor executor, Metrics &metrics)
    : m_executor(std::move(executor))
    , m_metrics(metrics)
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

void PoisonGuard::attemptInterrupted(const std::string &incarnation, const std::string &address, const FingerprintPair &fingerprints)
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

void PoisonGuard::callerDisconnected(const std::string &incarnation, const std::string &address, const FingerprintPair &fingerprints)
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
        const Quarantine::Entry &entry = m_quarantine.entries().at(fingerprint);
        logLine(Severity::Warning,
                "request.quarantined",
                {{"fingerprint", fingerprint.text()},
                 {"target", name},
                 {"crashes", static_cast<std::int64_t>(entry.crashedTargets.size())},
                 {"for_s", inSeconds(entry.nextTrial - now)}});
        announceEntry(fingerprint);
        m_unsavedAcquittals.erase(fingerprint);
        m_storeUpdateNeeded.notify();
    }
    updateGauges();
}

void PoisonGuard::requestAnswered(const FingerprintPair &fingerprints)
{
    for (const RequestFingerprint &fingerprint : fingerprints) {
        acquit(fingerprint, steadyNow());
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
    m_announceChange({.fingerprint = fingerprint});
    // Only quarantined requests are logged: after a crash there are many suspects, and most are acquitted when their caller retries.
    if (wasQuarantined) {
        logLine(Severity::Info, "request.acquitted", {{"fingerprint", fingerprint.text()}, {"by", "a complete response"}});
        m_unsavedAcquittals.insert(fingerprint);
        rememberAcquittal(fingerprint, answered);
        m_storeUpdateNeeded.notify();
    }
    updateGauges();
}

std::optional<Duration> PoisonGuard::timeToNextTrial(const FingerprintPair &fingerprints) const
{
    std::optional<Duration> longest;
    for (const RequestFingerprint &fingerprint : fingerprints) {
        // nullopt compares less than any duration.
        longest = std::max(longest, m_quarantine.timeToNextTrial(fingerprint, steadyNow()));
    }
    return longest;
}

void PoisonGuard::announceEntry(const RequestFingerprint &fingerprint) const
{
    const auto found = m_quarantine.entries().find(fingerprint);
    if (found != m_quarantine.entries().end()) {
        const Quarantine::Entry &entry = found->second;
        m_announceChange({.fingerprint = fingerprint,
                          .remaining = entry.nextTrial - steadyNow(),
                          .quarantineLevel = entry.quarantineLevel,
                          .trials = entry.trials,
                          .answers = entry.answers});
    }
}

bool PoisonGuard::beginTrial(const FingerprintPair &fingerprints)
{
    const Instant now = steadyNow();
    const bool due = std::ranges::all_of(fingerprints, [&](const RequestFingerprint &fingerprint) {
        return !m_quarantine.entries().contains(fingerprint) || m_quarantine.mayBeginTrial(fingerprint, now);
    });
    if (!due) {
        return false;
    }
    for (const RequestFingerprint &fingerprint : fingerprints) {
        m_quarantine.beginTrial(fingerprint, now);
        m_unsavedTrials.insert(fingerprint);
        announceEntry(fingerprint);
    }
    m_storeUpdateNeeded.notify();
    logLine(Severity::Info, "request.on_trial", {{"fingerprint", fingerprints.front().text()}});
    return true;
}

void PoisonGuard::trialNotRun(const FingerprintPair &fingerprints)
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
        logLine(Severity::Warning, "request.quarantined", {{"fingerprint", fingerprint.text()}, {"by", "crash reports of peers"}});
    }
    updateGauges();
}

void PoisonGuard::applyChange(const QuarantineChange &change, std::string_view from)
{
    const Instant now = steadyNow();
    const bool acquits = change.quarantineLevel == 0;
    const bool wasQuarantined = m_quarantine.entries().contains(change.fingerprint);
    const Quarantine::EntryState state{
        .nextTrial = now + change.remaining, .quarantineLevel = change.quarantineLevel, .trials = change.trials, .answers = change.answers};
    const bool isNew = acquits ? m_quarantine.recordPeerAnswer(change.fingerprint, now + std::min(change.remaining, Duration::zero()))
                               : m_quarantine.mergeEntry(change.fingerprint, state, now);
    if (isNew) {
        updateGauges();
    }
    if (acquits && wasQuarantined) {
        rememberAcquittal(change.fingerprint, now + std::min(change.remaining, Duration::zero()));
    }
    if (isNew && (wasQuarantined || !acquits)) {
        logLine(Severity::Info,
                acquits ? "request.acquitted" : "request.quarantined",
                {{"fingerprint", change.fingerprint.text()}, {"by", from}, {"for_s", inSeconds(change.remaining)}});
    }
}

void PoisonGuard::release(const RequestFingerprint &fingerprint)
{
    if (m_quarantine.acquit(fingerprint)) {
        updateGauges();
        logLine(Severity::Info, "request.acquitted", {{"fingerprint", fingerprint.text()}, {"by", "the store"}});
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
    m_metrics.gauge("quarantine_requests", {.name = "state", .value = "held"}, static_cast<std::int64_t>(m_quarantine.entries().size()));
    m_metrics.gauge("quarantine_requests", {.name = "state", .value = "suspected"}, static_cast<std::int64_t>(m_quarantine.suspects()));
}

}
