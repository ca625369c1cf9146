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
constexpr Millis s_contact = 3000;
/// A router that has just started reads the store first.
constexpr Millis s_firstRead = 50;
constexpr Millis s_dayLength = 60'000;
constexpr Millis s_askDelays[] = {0, 100, 500, 1500};
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
        start(target);
    }
}

void PoisonFleet::play()
{
    everySoOften(Stream::PoisonTimes, m_day.copyGap, [this] {
        arrive(m_poison, Stream::Poison);
    });
    everySoOften(Stream::PopularTimes, 60, [this] {
        arrive(m_popular, Stream::Popular);
    });
    everySoOften(Stream::OnceTimes, 40, [this] {
        arrive(fingerprintsOf({.team = "team", .body = absl::StrCat("once ", ++m_unique)}), Stream::Once);
    });
    if (m_day.otherCrashGap > 0) {
        everySoOften(Stream::Crashes, m_day.otherCrashGap, [this] {
            crash(draw(Stream::Crashes, m_targets.size()));
        });
    }
    if (m_day.routerDeathGap > 0) {
        everySoOften(Stream::Deaths, m_day.routerDeathGap, [this] {
            const std::size_t number = draw(Stream::Deaths, m_routers.size());
            m_routers[number] = Router{};
            m_routers[number].upSince = m_now;
            after(s_firstRead, [this, number] {
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

void PoisonFleet::after(Millis wait, std::function<void()> event)
{
    m_events.emplace(m_now + wait, std::move(event));
}

void PoisonFleet::everySoOften(Stream stream, Millis most, const std::function<void()> &event)
{
    after(static_cast<Millis>(draw(stream, static_cast<std::size_t>(most))) + 1, [this, stream, most, event] {
        event();
        everySoOften(stream, most, event);
    });
}

void PoisonFleet::start(std::size_t target)
{
    m_targets[target] = {.name = absl::StrCat("target-", ++m_started), .up = true};
}

bool PoisonFleet::held(const Router &router, const FingerprintPair &request, Millis now)
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
    if (held(router, request, m_now) && !beginTrial(number, request)) {
        noteRefusal(stream);
        return;
    }
    const bool mustKnow = m_thirdCrash && m_now > *m_thirdCrash + s_contact && m_now > router.upSince + s_contact;
    m_lateCopies += poisonous && mustKnow ? 1 : 0;
    const std::uint64_t id = ++m_ids;
    m_targets[target].running.push_back({.router = number, .request = request, .id = id});
    const std::string life = m_targets[target].name;
    const Millis work = static_cast<Millis>(draw(stream, 200)) + 50;
    if (poisonous && draw(stream, 100) < m_day.impatient) {
        after(work / 2, [this, target, life, id] {
            leave(target, life, id);
        });
    }
    after(work, [this, target, life, id, poisonous, request] {
        if (m_targets[target].name != life || !m_targets[target].up) {
            return;
        }
        if (poisonous) {
            ++m_crashedByPoison;
            if (m_crashedByPoison == 3) {
                m_thirdCrash = m_now;
            }
            crash(target);
        } else {
            finish(target, id, request);
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
        noteTrial(number, fingerprint);
        tell(number, fingerprint);
    }
    return true;
}

void PoisonFleet::noteTrial(std::size_t number, const RequestFingerprint &fingerprint)
{
    const Quarantine::Entries &entries = m_routers[number].quarantine.entries();
    const auto row = m_rows.find(fingerprint);
    if (const auto entry = entries.find(fingerprint); entry != entries.end() && row != m_rows.end()) {
        row->second.nextTrial = std::max(row->second.nextTrial, entry->second.nextTrial);
    }
}

void PoisonFleet::tell(std::size_t number, const RequestFingerprint &fingerprint)
{
    const auto found = m_routers[number].quarantine.entries().find(fingerprint);
    if (found == m_routers[number].quarantine.entries().end()) {
        return;
    }
    const Quarantine::EntryState state = entryStateOf(found->second);
    tellOthers(number, [this, fingerprint, state](Router &other) {
        other.quarantine.mergeEntry(fingerprint, state, at(m_now));
    });
}

void PoisonFleet::noteRefusal(Stream stream)
{
    if (stream == Stream::Poison) {
        return;
    }
    if (!m_refusedSince) {
        m_refusedSince = m_now;
    }
    m_longestRefused = std::max(m_longestRefused, m_now - *m_refusedSince);
}

void PoisonFleet::leave(std::size_t target, const std::string &life, std::uint64_t id)
{
    if (m_targets[target].name != life) {
        return;
    }
    std::erase_if(m_targets[target].running, [&](const Running &running) {
        if (running.id != id) {
            return false;
        }
        brokeOff(running, life);
        return true;
    });
}

void PoisonFleet::finish(std::size_t target, std::uint64_t id, const FingerprintPair &request)
{
    if (request == m_popular) {
        m_refusedSince.reset();
    }
    std::erase_if(m_targets[target].running, [&](const Running &running) {
        if (running.id == id) {
            acquit(running.router, request);
        }
        return running.id == id;
    });
}

void PoisonFleet::acquit(std::size_t number, const FingerprintPair &request)
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
            tellAnswered(number, fingerprint, at(m_now));
        }
    }
}

void PoisonFleet::tellAnswered(std::size_t number, const RequestFingerprint &fingerprint, Instant answered)
{
    tellOthers(number, [fingerprint, answered](Router &other) {
        other.quarantine.recordPeerAnswer(fingerprint, answered);
    });
}

void PoisonFleet::crash(std::size_t number)
{
    Target &target = m_targets[number];
    if (!target.up) {
        return;
    }
    target.up = false;
    m_crashedAt[target.name] = m_now;
    const std::string life = target.name;
    for (const Running &running : std::exchange(target.running, {})) {
        after(static_cast<Millis>(draw(Stream::Delays, 5)), [this, running, life] {
            brokeOff(running, life);
        });
    }
    after(static_cast<Millis>(2000 + draw(Stream::Delays, 4000)), [this, number] {
        start(number);
    });
}

void PoisonFleet::brokeOff(const Running &running, const std::string &life)
{
    switch (m_routers[running.router].watch.attemptInterrupted(life, running.request, at(m_now))) {
    case CrashWatch::Action::Wait:
        break;
    case CrashWatch::Action::Probe:
        ask(running.router, life, 0);
        break;
    case CrashWatch::Action::Report:
        report(running.router, life, {running.request.begin(), running.request.end()});
        break;
    }
}

void PoisonFleet::ask(std::size_t router, const std::string &life, std::size_t step)
{
    const Millis wait = step == 0 ? s_askDelays[0] : s_askDelays[step] - s_askDelays[step - 1];
    after(wait + 1, [this, router, life, step] {
        const auto crashed = m_crashedAt.find(life);
        if (crashed != m_crashedAt.end() && m_now - crashed->second >= m_day.lingering) {
            after(20, [this, router, life] {
                report(router, life, m_routers[router].watch.connectionRefused(life, at(m_now)));
            });
            return;
        }
        tellBrokenOff(router, life);
        if (step + 1 < std::size(s_askDelays)) {
            ask(router, life, step + 1);
        } else {
            m_routers[router].watch.targetAlive(life);
        }
    });
}

std::size_t PoisonFleet::numberOf(const Router &router) const
{
    return static_cast<std::size_t>(&router - m_routers.data());
}

void PoisonFleet::tellBrokenOff(std::size_t router, const std::string &life)
{
    Router &teller = m_routers[router];
    const Instant crash = teller.watch.interruptedSince(life, at(m_now));
    const std::vector<RequestFingerprint> untold = teller.quarantine.unansweredSince(teller.watch.takeUnannounced(life), crash);
    tellOthers(router, [this, target = stableHash(life), untold, crash](Router &other) {
        takeBrokenOff(other, target, untold, crash);
    });
}

void PoisonFleet::askPeers(std::size_t number)
{
    for (std::size_t asked = 1; asked <= std::min(s_peersAsked, m_routers.size() - 1); ++asked) {
        const std::size_t peer = (number + asked) % m_routers.size();
        sendTo(peer, [this, number](Router &other) {
            for (const Quarantine::KnownCrash &crash : other.quarantine.knownCrashes()) {
                sendTo(number, [this, crash](Router &asker) {
                    takeReport(asker, crash.target, crash.inFlight, crash.at);
                });
            }
            for (const CrashWatch::UnconfirmedCrash &broken : other.watch.unconfirmedCrashes(at(m_now))) {
                sendTo(number, [this, broken](Router &asker) {
                    takeBrokenOff(asker, broken.target, broken.inFlight, broken.since);
                });
            }
        });
    }
}

void PoisonFleet::takeReport(Router &router, std::uint64_t target, const std::vector<RequestFingerprint> &inFlight, Instant crash)
{
    const std::size_t number = numberOf(router);
    decide(number, target, router.watch.takeCancelled(target, at(m_now)), crash);
    decide(number, target, router.watch.confirmCrash(target, at(m_now)), crash);
    tellAnsweredSince(number, inFlight, crash);
    router.quarantine.recordCrash(target, inFlight, at(m_now), at(m_now) - crash);
}

void PoisonFleet::takeBrokenOff(Router &router, std::uint64_t target, const std::vector<RequestFingerprint> &inFlight, Instant since)
{
    decide(numberOf(router), target, router.watch.peerAttemptsInterrupted(target, inFlight, at(m_now)), since);
}

void PoisonFleet::report(std::size_t router, const std::string &life, std::vector<RequestFingerprint> inFlight)
{
    const std::uint64_t target = stableHash(life);
    const Instant crash = m_routers[router].watch.interruptedSince(life, at(m_now));
    inFlight = m_routers[router].quarantine.unansweredSince(inFlight, crash);
    tellOthers(router, [this, target, inFlight, crash](Router &other) {
        takeReport(other, target, inFlight, crash);
    });
    const std::vector<RequestFingerprint> peers = m_routers[router].watch.confirmCrash(target, at(m_now));
    inFlight.insert(inFlight.end(), peers.begin(), peers.end());
    decide(router, target, inFlight, crash);
}

void PoisonFleet::tellAnsweredSince(std::size_t number, const std::vector<RequestFingerprint> &inFlight, Instant crash)
{
    for (const RequestFingerprint &fingerprint : inFlight) {
        if (const std::optional<Instant> answered = m_routers[number].quarantine.takeUnannouncedAnswer(fingerprint, crash)) {
            tellAnswered(number, fingerprint, *answered);
        }
    }
}

void PoisonFleet::decide(std::size_t router, std::uint64_t target, const std::vector<RequestFingerprint> &inFlight, Instant crash)
{
    tellAnsweredSince(router, inFlight, crash);
    for (const RequestFingerprint &fingerprint : m_routers[router].quarantine.recordCrash(target, inFlight, at(m_now), at(m_now) - crash)) {
        m_rows[fingerprint] = m_routers[router].quarantine.entries().at(fingerprint);
        tell(router, fingerprint);
    }
}

void PoisonFleet::tellOthers(std::size_t router, const std::function<void(Router &)> &notice)
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
        after(static_cast<Millis>(draw(Stream::Delays, 30)) + 1, [this, router, notice] {
            notice(m_routers[router]);
        });
    }
}

void PoisonFleet::synchroniseRouters()
{
    for (std::size_t number = 0; number < m_routers.size(); ++number) {
        after(static_cast<Millis>(draw(Stream::Delays, 2000)), [this, number] {
            synchronise(number);
        });
    }
}

void PoisonFleet::synchronise(std::size_t number)
{
    readStore(number);
    after(2000, [this, number] {
        synchronise(number);
    });
}

void PoisonFleet::readStore(std::size_t number)
{
    Quarantine &quarantine = m_routers[number].quarantine;
    std::vector<RequestFingerprint> lifted;
    for (const auto &[fingerprint, entry] : quarantine.entries()) {
        const auto acquitted = m_acquittedAt.find(fingerprint);
        const bool sinceThen = acquitted != m_acquittedAt.end() && entry.quarantinedSince < at(acquitted->second);
        if (sinceThen || (entry.stored && !m_rows.contains(fingerprint))) {
            lifted.push_back(fingerprint);
        }
    }
    for (const RequestFingerprint &fingerprint : lifted) {
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
