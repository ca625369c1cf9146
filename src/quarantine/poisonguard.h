#pragma once

#include "net/signal.h"
#include "operations/metrics.h"
#include "quarantine/crashwatch.h"
#include "quarantine/quarantine.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace bamboohold {

/// The requests that one router had in flight on a target that crashed, or may have crashed, and the parts of their prompts.
struct CrashReport {
    /// Hash of the target's incarnation.
    std::uint64_t target = 0;
    std::vector<RequestFingerprint> inFlight;
    /// False if it is only known that the requests were interrupted.
    bool confirmed = true;
    /// Time since the requests were interrupted.
    Duration ago{};
};

/// A request, or a part of prompts, that is quarantined from now on, or no longer.
struct QuarantineChange {
    RequestFingerprint fingerprint;
    /// Time until its next trial, negative if that may begin already. For an acquitted request: minus the time since the response that
    /// acquitted it.
    Duration remaining{};
    /// See Quarantine::Entry; 0 if the request is acquitted.
    unsigned quarantineLevel = 0;
    unsigned trials = 0;
    unsigned answers = 0;
    /// Of a part: time since the last crash that counts against it, and whether a trial had other suspected parts as well.
    Duration sinceCrash{};
    bool jointTrial = false;
    /// False if the change comes from a row of the store.
    bool trialMayBeUnderWay = true;
    /// A trial begins now, by the word of the router that begins it.
    bool trialBegins = false;
};

/// Stops requests that crash the targets they run on from reaching more targets.
///
/// This is the runtime around CrashWatch and Quarantine: it probes targets for whether they still listen, announces what this router found
/// to the peers, and writes logs and metrics. It runs on one event loop and must outlive the coroutines that it spawns there.
class PoisonGuard
{
public:
    /// An acquittal is remembered for this long. Every router in contact with the store reads it several times within this time.
    static constexpr Duration s_acquittalRetention = std::chrono::minutes(1);

    PoisonGuard(boost::asio::any_io_executor executor, Metrics &metrics, Quarantine::Options options = {});

    /// Sets the function that returns true if a target is about to leave. The end of such a target is not counted as a crash.
    void setExpectedToEnd(std::function<bool(const std::string &incarnation)> expectedToEnd);

    /// Sets the functions that send crashes and changes of the quarantine to the peers.
    void setAnnouncers(std::function<void(const CrashReport &)> crash, std::function<void(const QuarantineChange &)> change);

    /// Handles an attempt whose connection to the target closed before the response was complete. `fingerprints` are those of the request,
    /// and of the parts of its prompt unless the answer had begun.
    void attemptInterrupted(const std::string &incarnation, const std::string &address, std::span<const RequestFingerprint> fingerprints);

    /// Handles a caller that disconnected while its request was in flight on a target.
    void callerDisconnected(const std::string &incarnation, const std::string &address, std::span<const RequestFingerprint> fingerprints);

    /// Handles a complete response to a request.
    void requestAnswered(const FingerprintPair &fingerprints);

    /// Handles an answer to a request with these parts that began at this time and went on for a while, or is complete.
    void partsAnswered(std::span<const RequestFingerprint> parts, Instant began);

    /// Returns true if a request with this address hash may be suspected or quarantined; see Quarantine.
    bool mayContainAddress(std::uint64_t addressHash) const
    {
        return m_quarantine.mayContainAddress(addressHash);
    }

    /// Returns true if responses to requests with this address hash must be passed to `requestAnswered`.
    bool wantsAnswers(std::uint64_t addressHash) const;

    /// Returns true if any request or part is quarantined.
    bool holdsAny() const
    {
        return !m_quarantine.entries().empty();
    }

    /// Returns the time until the next trial of the request, or nullopt if neither it nor a part of its prompt is quarantined.
    std::optional<Duration> timeToNextTrial(std::span<const RequestFingerprint> fingerprints) const;

    /// Returns which of these fingerprints is quarantined and for the longest time, or nullopt if none is.
    std::optional<RequestFingerprint> quarantinedOf(std::span<const RequestFingerprint> fingerprints) const;

    /// Handles a request that was refused because it is quarantined.
    void requestRefused(std::span<const RequestFingerprint> fingerprints);

    /// Lets a copy of a quarantined request through if a trial is due, and returns true in that case. Also tells the peers, so that they do
    /// not let other copies through at the same time.
    bool beginTrial(std::span<const RequestFingerprint> fingerprints);

    /// Handles a trial copy that reached no target.
    void trialNotRun(std::span<const RequestFingerprint> fingerprints);

    /// Returns the crashes and interrupted requests that this router knows of. A peer that has just started asks for them.
    std::vector<CrashReport> knownCrashes() const;

    /// Returns all that is quarantined. A peer that has just started asks for it, since it may not reach the store.
    std::vector<QuarantineChange> knownEntries() const;

    /// Handles a peer's report of a crashed target, or of requests that were interrupted there.
    void handleCrashReport(const CrashReport &report);

    /// Applies a change of the quarantine that comes from a peer or the store; `from` names the source in the log.
    void applyChange(const QuarantineChange &change, std::string_view from);

    /// Releases a request because the store no longer quarantines it.
    void release(const RequestFingerprint &fingerprint);

    /// Removes outdated entries. Call this periodically.
    void expire();

    /// The quarantined requests, for the object that synchronises them with the store.
    Quarantine &quarantine()
    {
        return m_quarantine;
    }

    /// Requests that were acquitted after they had been quarantined, and whose acquittal is not in the store yet: by this router, or by any
    /// router if the store lost it when it returned from an older copy.
    std::set<RequestFingerprint> &unsavedAcquittals()
    {
        return m_unsavedAcquittals;
    }

    /// Records that a quarantined request was acquitted at this time, as this router found or learned from a peer or the store.
    void rememberAcquittal(const RequestFingerprint &fingerprint, Instant at);

    /// Counts every recent acquittal of a request that has not been quarantined again as not in the store.
    void markAcquittalsUnsaved();

    /// Requests with a trial that is not in the store yet: one that this router started, or one that the store lost when it returned from
    /// an older copy. If this router terminates before it is, a router that starts later begins another trial at once.
    std::set<RequestFingerprint> &unsavedTrials()
    {
        return m_unsavedTrials;
    }

    /// Notified when there is a decision to write to the store.
    Signal &storeUpdateNeeded()
    {
        return m_storeUpdateNeeded;
    }

private:
    boost::asio::awaitable<void> probeTarget(std::string incarnation, std::string address);
    boost::asio::awaitable<bool> refusesConnections(std::string address);
    void reportCrash(CrashReport crash, std::string_view target);
    /// Announces the interrupted requests of a target that has not refused a connection yet to the peers.
    void announceInterrupted(const std::string &incarnation);
    /// Records the crash. Announces requests that are quarantined because of it to the peers, and has them stored.
    void applyCrash(const CrashReport &crash, std::string_view name);
    /// Announces to the peers which of the requests this router has completed since the crash, because the peers count the crash against
    /// them.
    void announceAnswers(const CrashReport &crash);
    void acquit(const RequestFingerprint &fingerprint, Instant answered);
    void announceEntry(const RequestFingerprint &fingerprint, bool trialBegins = false);
    /// Announces the entry as it is a moment later.
    boost::asio::awaitable<void> announceAgain(RequestFingerprint fingerprint);
    QuarantineChange changeOf(const RequestFingerprint &fingerprint, const Quarantine::Entry &entry) const;
    /// Tells the peers again of the crashes that complete the evidence against parts, and decides on these parts in time.
    void prepareVerdicts();
    boost::asio::awaitable<void> decideParts();
    void logQuarantined(const RequestFingerprint &fingerprint, std::string_view by) const;
    /// Tells the peers and the store that a part which they quarantine was answered after the last crash that counts against it.
    void contradict(const QuarantineChange &change, Instant lastCrash);
    /// Returns the time since the first attempt on the target was interrupted.
    Duration timeSinceInterruption(const std::string &incarnation) const;
    void updateGauges() const;

    boost::asio::any_io_executor m_executor;
    Metrics &m_metrics;
    CrashWatch m_watch;
    Quarantine m_quarantine;
    std::set<RequestFingerprint> m_unsavedAcquittals;
    std::set<RequestFingerprint> m_unsavedTrials;
    /// The acquittals within the retention time.
    std::map<RequestFingerprint, Instant> m_recentAcquittals;
    Signal m_storeUpdateNeeded;
    bool m_deciding = false;
    std::function<bool(const std::string &)> m_expectedToEnd;
    std::function<void(const CrashReport &)> m_announceCrash;
    std::function<void(const QuarantineChange &)> m_announceChange;
};

}
