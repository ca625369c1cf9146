#include "poisonfleet.h"

#include "routing/stablehash.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace bamboohold {

namespace {

using Millis = PoisonDay::Millis;

/// Time in milliseconds within which the whole fleet must know of a crash and act on it.
constexpr Millis s_propagationTime = 3000;
/// A router that has just started reads the store first.
constexpr Millis s_firstReadDelay = 50;
constexpr Millis s_dayLength = 60'000;
constexpr Millis s_probeDelays[] = {0, 100, 500, 1500};
/// Number of peers that a router asks after its start which crashes they know of.
constexpr std::size_t s_peersAsked = 3;
/// Differences between the seeds of a day's streams, and between the seeds of one stream's restarts.
constexpr unsigned s_streamStep = 1'000'003;
constexpr unsigned s_restartStep = 15'485'863;

Instant at(Millis time)
{
    return Instant{} + std::chrono::hours(1) + std::chrono::milliseconds(time);
}

Quarantine::EntryState entryStateOf(const Quarantine::Entry &entry)
{
    return {.nextTrial = entry.nextTrial, .quarantineLevel = entry.quarantineLevel, .trials = entry.trials, .answers = entry.answers};
}

}

PoisonFleet::PoisonFleet(PoisonDay day)
    : m_day(day)
    , m_routers(static_cast<std::size_t>(day.routers))
    , m_targets(static_cast<std::size_t>(day.targets))
{
    for (std::size_t stream = 0; stream < s_streams; ++stream) {
        m_streams[stream].seed(day.seed + static_cast<unsigned>(stream) * s_streamStep);
    }
    for (std::size_t target = 0; target < m_targets.size(); ++target) {
        startTarget(target);
    }
}

void PoisonFleet::play()
{
    scheduleRepeatedly(Stream::PoisonTimes, m_day.copyGap, [this] {
        arrive(m_poison, Stream::Poison);
    });
    scheduleRepeatedly(Stream::PopularTimes, 60, [this] {
        arrive(m_popular, Stream::Popular);
    });
    scheduleRepeatedly(Stream::OnceTimes, 40, [this] {
        arrive(fingerprintsOf({.team = "team", .body = absl::StrCat("once ", ++m_uniqueRequests)}), Stream::Once);
    });
    if (m_day.otherCrashGap > 0) {
        scheduleRepeatedly(Stream::Crashes, m_day.otherCrashGap, [this] {
            crashTarget(draw(Stream::Crashes, m_targets.size()));
        });
    }
    if (m_day.routerDeathGap > 0) {
        scheduleRepeatedly(Stream::Deaths, m_day.routerDeathGap, [this] {
            const std::size_t number = draw(Stream::Deaths, m_routers.size());
            m_routers[number] = Router{};
            m_routers[number].upSince = m_now;
            schedule(s_firstReadDelay, [this, number] {
                readStore(number);
                askPeers(number);
            });
        });
    }
    synchroniseRouters();
    while (!m_events.empty() && m_events.begin()->first <= s_dayLength) {
        const auto next = m_events.begin();
        m_now = next->first;
        const std::function<void()> event = std::move(next->second);
        m_events.erase(next);
        event();
    }
}

std::size_t PoisonFleet::draw(Stream stream, std::size_t below)
{
    return m_streams[m_day.separateStreams ? static_cast<std::size_t>(stream) : 0]() % below;
}

void PoisonFleet::restartStream(Stream stream)
{
    if (m_day.separateStreams) {
        const auto index = static_cast<std::size_t>(stream);
        m_streams[index].seed(m_day.seed + static_cast<unsigned>(index) * s_streamStep + ++m_restarts[index] * s_restartStep);
    }
}

void PoisonFleet::schedule(Millis wait, std::function<void()> event)
{
    m_events.emplace(m_now + wait, std::move(event));
}

void PoisonFleet::scheduleRepeatedly(Stream stream, Millis most, const std::function<void()> &event)
{
    schedule(static_cast<Millis>(draw(stream, static_cast<std::size_t>(most))) + 1, [this, stream, most, event] {
        event();
        scheduleRepeatedly(stream, most, event);
    });
}

void PoisonFleet::startTarget(std::size_t target)
{
    m_targets[target] = {.name = absl::StrCat("target-", ++m_startedTargets), .up = true};
}

bool PoisonFleet::isQuarantined(const Router &router, const FingerprintPair &request, Millis now)
{
    return router.quarantine.timeToNextTrial(request.front(), at(now)) || router.quarantine.timeToNextTrial(request.back(), at(now));
}

void PoisonFleet::arrive(const FingerprintPair &request, Stream stream)
{
    restartStream(stream);
    const bool poisonous = stream == Stream::Poison;
    const std::size_t number = draw(stream, m_routers.size());
    Router &router = m_routers[number];
    const std::size_t target = draw(stream, m_targets.size());
    if (!m_targets[target].up) {
        return;
    }
    if (isQuarantined(router, request, m_now) && !beginTrial(number, request)) {
        recordRefusal(stream);
        return;
    }
    const bool mustKnow = m_thirdCrash && m_now > *m_thirdCrash + s_propagationTime && m_now > router.upSince + s_propagationTime;
    m_lateCopies += poisonous && mustKnow ? 1 : 0;
    const std::uint64_t id = ++m_lastRequestId;
    m_targets[target].running.push_back({.router = number, .request = request, .id = id});
    const std::string incarnation = m_targets[target].name;
    const Millis work = static_cast<Millis>(draw(stream, 200)) + 50;
    if (poisonous && draw(stream, 100) < m_day.impatient) {
        schedule(work / 2, [this, target, incarnation, id] {
            disconnectCaller(target, incarnation, id);
        });
    }
    schedule(work, [this, target, incarnation, id, poisonous, request] {
        if (m_targets[target].name != incarnation || !m_targets[target].up) {
            return;
        }
        if (poisonous) {
            ++m_crashedByPoison;
            if (m_crashedByPoison == 3) {
                m_thirdCrash = m_now;
            }
            crashTarget(target);
        } else {
            completeRequest(target, id, request);
        }
    });
}

bool PoisonFleet::beginTrial(std::size_t number, const FingerprintPair &request)
{
    Quarantine &quarantine = m_routers[number].quarantine;
    for (const RequestFingerprint &fingerprint : request) {
        if (quarantine.entries().contains(fingerprint) && !quarantine.mayBeginTrial(fingerprint, at(m_now))) {
            return false;
        }
    }
    for (const RequestFingerprint &fingerprint : request) {
        quarantine.beginTrial(fingerprint, at(m_now));
        storeTrial(number, fingerprint);
        announceEntry(number, fingerprint);
    }
    return true;
}

void PoisonFleet::storeTrial(std::size_t number, const RequestFingerprint &fingerprint)
{
    const Quarantine::Entries &entries = m_routers[number].quarantine.entries();
    const auto row = m_rows.find(fingerprint);
    if (const auto entry = entries.find(fingerprint); entry != entries.end() && row != m_rows.end()) {
        row->second.nextTrial = std::max(row->second.nextTrial, entry->second.nextTrial);
    }
}

void PoisonFleet::announceEntry(std::size_t number, const RequestFingerprint &fingerprint)
{
    const auto found = m_routers[number].quarantine.entries().find(fingerprint);
    if (found == m_routers[number].quarantine.entries().end()) {
        return;
    }
    const Quarantine::EntryState state = entryStateOf(found->second);
    sendToOthers(number, [this, fingerprint, state](Router &other) {
        other.quarantine.mergeEntry(fingerprint, state, at(m_now));
    });
}

void PoisonFleet::recordRefusal(Stream stream)
{
    if (stream == Stream::Poison) {
        return;
    }
    if (!m_refusedSince) {
        m_refusedSince = m_now;
    }
    m_longestRefused = std::max(m_longestRefused, m_now - *m_refusedSince);
}

void PoisonFleet::disconnectCaller(std::size_t target, const std::string &incarnation, std::uint64_t id)
{
    if (m_targets[target].name != incarnation) {
        return;
    }
    std::erase_if(m_targets[target].running, [&](const InFlightRequest &running) {
        if (running.id != id) {
            return false;
        }
        handleInterruption(running, incarnation);
        return true;
    });
}

void PoisonFleet::completeRequest(std::size_t target, std::uint64_t id, const FingerprintPair &request)
{
    if (request == m_popular) {
        m_refusedSince.reset();
    }
    std::erase_if(m_targets[target].running, [&](const InFlightRequest &running) {
        if (running.id == id) {
            handleAnswer(running.router, request);
        }
        return running.id == id;
    });
}

void PoisonFleet::handleAnswer(std::size_t number, const FingerprintPair &request)
{
    Router &router = m_routers[number];
    if (!router.watch.recentlyInterrupted(at(m_now)) && !router.quarantine.isTracked(request.front())
        && !router.quarantine.isTracked(request.back())) {
        return;
    }
    for (const RequestFingerprint &fingerprint : request) {
        if (router.quarantine.recordAnswer(fingerprint, at(m_now))) {
            if (m_rows.erase(fingerprint) > 0) {
                m_acquittedAt[fingerprint] = m_now;
            }
            announceAnswer(number, fingerprint, at(m_now));
        }
    }
}

void PoisonFleet::announceAnswer(std::size_t number, const RequestFingerprint &fingerprint, Instant answered)
{
    sendToOthers(number, [fingerprint, answered](Router &other) {
        other.quarantine.recordPeerAnswer(fingerprint, answered);
    });
}

void PoisonFleet::crashTarget(std::size_t number)
{
    Target &target = m_targets[number];
    if (!target.up) {
        return;
    }
    target.up = false;
    m_crashedAt[target.name] = m_now;
    const std::string incarnation = target.name;
    for (const InFlightRequest &running : std::exchange(target.running, {})) {
        schedule(static_cast<Millis>(draw(Stream::Delays, 5)), [this, running, incarnation] {
            handleInterruption(running, incarnation);
        });
    }
    schedule(static_cast<Millis>(2000 + draw(Stream::Delays, 4000)), [this, number] {
        startTarget(number);
    });
}

void PoisonFleet::handleInterruption(const InFlightRequest &running, const std::string &incarnation)
{
    switch (m_routers[running.router].watch.attemptInterrupted(incarnation, running.request, at(m_now))) {
    case CrashWatch::Action::Wait:
        break;
    case CrashWatch::Action::Probe:
        probe(running.router, incarnation, 0);
        break;
    case CrashWatch::Action::Report:
        reportCrash(running.router, incarnation, {running.request.begin(), running.request.end()});
        break;
    }
}

void PoisonFleet::probe(std::size_t router, const std::string &incarnation, std::size_t step)
{
    const Millis wait = step == 0 ? s_probeDelays[0] : s_probeDelays[step] - s_probeDelays[step - 1];
    schedule(wait + 1, [this, router, incarnation, step] {
        const auto crashed = m_crashedAt.find(incarnation);
        if (crashed != m_crashedAt.end() && m_now - crashed->second >= m_day.lingering) {
            schedule(20, [this, router, incarnation] {
                reportCrash(router, incarnation, m_routers[router].watch.connectionRefused(incarnation, at(m_now)));
            });
            return;
        }
        announceInterrupted(router, incarnation);
        if (step + 1 < std::size(s_probeDelays)) {
            probe(router, incarnation, step + 1);
        } else {
            m_routers[router].watch.targetAlive(incarnation);
        }
    });
}

std::size_t PoisonFleet::indexOf(const Router &router) const
{
    return static_cast<std::size_t>(&router - m_routers.data());
}

void PoisonFleet::announceInterrupted(std::size_t router, const std::string &incarnation)
{
    Router &announcer = m_routers[router];
    const Instant crash = announcer.watch.interruptedSince(incarnation, at(m_now));
    const std::vector<RequestFingerprint> unannounced =
        announcer.quarantine.unansweredSince(announcer.watch.takeUnannounced(incarnation), crash);
    sendToOthers(router, [this, target = stableHash(incarnation), unannounced, crash](Router &other) {
        handleInterrupted(other, target, unannounced, crash);
    });
}

void PoisonFleet::askPeers(std::size_t number)
{
    for (std::size_t asked = 1; asked <= std::min(s_peersAsked, m_routers.size() - 1); ++asked) {
        const std::size_t peer = (number + asked) % m_routers.size();
        sendTo(peer, [this, number](Router &other) {
            for (const Quarantine::KnownCrash &crash : other.quarantine.knownCrashes()) {
                sendTo(number, [this, crash](Router &asker) {
                    handleCrashReport(asker, crash.target, crash.inFlight, crash.at);
                });
            }
            for (const CrashWatch::UnconfirmedCrash &unconfirmed : other.watch.unconfirmedCrashes(at(m_now))) {
                sendTo(number, [this, unconfirmed](Router &asker) {
                    handleInterrupted(asker, unconfirmed.target, unconfirmed.inFlight, unconfirmed.since);
                });
            }
        });
    }
}

void PoisonFleet::handleCrashReport(Router &router, std::uint64_t target, const std::vector<RequestFingerprint> &inFlight, Instant crash)
{
    const std::size_t number = indexOf(router);
    applyCrash(number, target, router.watch.takeCancelled(target, at(m_now)), crash);
    applyCrash(number, target, router.watch.confirmCrash(target, at(m_now)), crash);
    announceAnswersSince(number, inFlight, crash);
    router.quarantine.recordCrash(target, inFlight, at(m_now), at(m_now) - crash);
}

void PoisonFleet::handleInterrupted(Router &router, std::uint64_t target, const std::vector<RequestFingerprint> &inFlight, Instant since)
{
    applyCrash(indexOf(router), target, router.watch.peerAttemptsInterrupted(target, inFlight, at(m_now)), since);
}

void PoisonFleet::reportCrash(std::size_t router, const std::string &incarnation, std::vector<RequestFingerprint> inFlight)
{
    const std::uint64_t target = stableHash(incarnation);
    const Instant crash = m_routers[router].watch.interruptedSince(incarnation, at(m_now));
    inFlight = m_routers[router].quarantine.unansweredSince(inFlight, crash);
    sendToOthers(router, [this, target, inFlight, crash](Router &other) {
        handleCrashReport(other, target, inFlight, crash);
    });
    const std::vector<RequestFingerprint> peers = m_routers[router].watch.confirmCrash(target, at(m_now));
    inFlight.insert(inFlight.end(), peers.begin(), peers.end());
    applyCrash(router, target, inFlight, crash);
}

void PoisonFleet::announceAnswersSince(std::size_t number, const std::vector<RequestFingerprint> &inFlight, Instant crash)
{
    for (const RequestFingerprint &fingerprint : inFlight) {
        if (const std::optional<Instant> answered = m_routers[number].quarantine.takeUnannouncedAnswer(fingerprint, crash)) {
            announceAnswer(number, fingerprint, *answered);
        }
    }
}

void PoisonFleet::applyCrash(std::size_t router, std::uint64_t target, const std::vector<RequestFingerprint> &inFlight, Instant crash)
{
    announceAnswersSince(router, inFlight, crash);
    for (const RequestFingerprint &fingerprint : m_routers[router].quarantine.recordCrash(target, inFlight, at(m_now), at(m_now) - crash)) {
        m_rows[fingerprint] = m_routers[router].quarantine.entries().at(fingerprint);
        announceEntry(router, fingerprint);
    }
}

void PoisonFleet::sendToOthers(std::size_t router, const std::function<void(Router &)> &notice)
{
    for (std::size_t other = 0; other < m_routers.size(); ++other) {
        if (other != router) {
            sendTo(other, notice);
        }
    }
}

void PoisonFleet::sendTo(std::size_t router, const std::function<void(Router &)> &notice)
{
    if (draw(Stream::Losses, 100) >= m_day.lostNotices) {
        schedule(static_cast<Millis>(draw(Stream::Delays, 30)) + 1, [this, router, notice] {
            notice(m_routers[router]);
        });
    }
}

void PoisonFleet::synchroniseRouters()
{
    for (std::size_t number = 0; number < m_routers.size(); ++number) {
        schedule(static_cast<Millis>(draw(Stream::Delays, 2000)), [this, number] {
            synchronise(number);
        });
    }
}

void PoisonFleet::synchronise(std::size_t number)
{
    readStore(number);
    schedule(2000, [this, number] {
        synchronise(number);
    });
}

void PoisonFleet::readStore(std::size_t number)
{
    Quarantine &quarantine = m_routers[number].quarantine;
    std::vector<RequestFingerprint> released;
    for (const auto &[fingerprint, entry] : quarantine.entries()) {
        const auto acquitted = m_acquittedAt.find(fingerprint);
        const bool sinceThen = acquitted != m_acquittedAt.end() && entry.quarantinedSince < at(acquitted->second);
        if (sinceThen || (entry.stored && !m_rows.contains(fingerprint))) {
            released.push_back(fingerprint);
        }
    }
    for (const RequestFingerprint &fingerprint : released) {
        quarantine.acquit(fingerprint);
    }
    for (const auto &[fingerprint, entry] : m_rows) {
        Quarantine::EntryState state = entryStateOf(entry);
        // Rows do not contain the number of trials.
        state.trials = 0;
        quarantine.mergeEntry(fingerprint, state, at(m_now));
        quarantine.setStored(fingerprint);
    }
    for (const auto &[fingerprint, entry] : quarantine.entries()) {
        const auto [row, isNew] = m_rows.try_emplace(fingerprint, entry);
        if (row->second.quarantineLevel < entry.quarantineLevel) {
            row->second = entry;
        }
    }
}

}
