#pragma once

#include "net/signal.h"
#include "operations/metrics.h"
#include "quarantine/crashwatch.h"
#include "quarantine/quarantine.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace bamboohold {

/// What one router had under way at a target that crashed, or may have.
struct CrashReport {
    /// A hash of the target's incarnation.
    std::uint64_t target = 0;
    std::vector<RequestFingerprint> underWay;
    /// False while it is only known that requests broke off there.
    bool crashed = true;
    /// Since they broke off.
    Duration ago{};
};

/// A request is held back from now on, or is not any more.
struct QuarantineChange {
    RequestFingerprint fingerprint;
    /// Until its next trial; negative once that may begin. Of a request that nothing speaks against any more: negative, the time since the
    /// answer that showed it.
    Duration remaining{};
    /// See Quarantine::Entry; 0: nothing speaks against it any more.
    unsigned terms = 0;
    unsigned trials = 0;
    unsigned answers = 0;
};

/// Keeps requests that crash the targets they run on from reaching more of them.
///
/// The runtime around CrashWatch and Quarantine: it asks targets whether they still listen, tells the peers what this router saw, and logs
/// and counts. Lives on one event loop, and outlives all that it spawns there.
class PoisonGuard
{
public:
    PoisonGuard(boost::asio::any_io_executor executor, Metrics &metrics);

    /// Who knows whether a target is about to leave: its end is nobody's fault.
    void setExpectedToEnd(std::function<bool(const std::string &incarnation)> expectedToEnd);

    /// Who tells the peers.
    void setAnnouncers(std::function<void(const CrashReport &)> crash, std::function<void(const QuarantineChange &)> change);

    /// An attempt at a target broke off.
    void brokeOff(const std::string &incarnation, const std::string &address, const FingerprintPair &fingerprints);

    /// A caller left while its request was under way at a target.
    void left(const std::string &incarnation, const std::string &address, const FingerprintPair &fingerprints);

    /// A request was answered whole.
    void answered(const FingerprintPair &fingerprints);

    /// True when something may speak against a request of this address; see Quarantine.
    bool mayKnow(std::uint64_t addressHash) const
    {
        return m_quarantine.mayKnow(addressHash);
    }

    /// True when answers to requests of this address are to be told to `answered`.
    bool wantsAnswers(std::uint64_t addressHash) const;

    /// How long until the request may be tried again; none when it is not held back.
    std::optional<Duration> heldFor(const FingerprintPair &fingerprints) const;

    /// Lets a copy of a held request through if a trial is due, and tells the peers, so that copies that arrive elsewhere do not go through
    /// as well.
    bool beginTrial(const FingerprintPair &fingerprints);

    /// The copy on trial reached no target.
    void trialNotRun(const FingerprintPair &fingerprints);

    /// What this router knows of crashes, for a peer that has just started.
    std::vector<CrashReport> knownCrashes() const;

    /// A peer saw a target crash, or requests break off there.
    void peerSawCrash(const CrashReport &report);

    /// A peer, or the store, holds a request back or no longer does.
    void take(const QuarantineChange &change, std::string_view from);

    /// The store lets a request pass again.
    void lift(const RequestFingerprint &fingerprint);

    /// Forgets what is long past. Call now and then.
    void expire();

    /// What is held back, for whoever keeps it in the store.
    Quarantine &quarantine()
    {
        return m_quarantine;
    }

    /// Requests that were held back and acquitted here, which the store has to be told.
    std::set<RequestFingerprint> &acquitted()
    {
        return m_acquitted;
    }

    /// Requests whose trial began here, which the store has to be told: the trial may end with this router, and a router that starts later
    /// would begin another one at once.
    std::set<RequestFingerprint> &trialsBegun()
    {
        return m_trialsBegun;
    }

    /// Something was decided here that the store should know.
    Signal &decided()
    {
        return m_decided;
    }

private:
    boost::asio::awaitable<void> watch(std::string incarnation, std::string address);
    boost::asio::awaitable<bool> refuses(std::string address);
    void report(CrashReport crash, std::string_view target);
    /// Tells the peers what broke off at a target that has not refused a connection yet.
    void tellBrokenOff(const std::string &incarnation);
    /// These were under way at a crash; what is held back because of it is told, and kept.
    void blame(const CrashReport &crash, std::string_view name);
    /// Tells the peers of those that were answered here since the crash, as the peers blame them for it.
    void tellAnswered(const CrashReport &crash);
    void acquit(const RequestFingerprint &fingerprint, Instant answered);
    void tell(const RequestFingerprint &fingerprint) const;
    /// Since attempts at the target broke off.
    Duration sinceBroken(const std::string &incarnation) const;
    void count() const;

    boost::asio::any_io_executor m_executor;
    Metrics &m_metrics;
    CrashWatch m_watch;
    Quarantine m_quarantine;
    std::set<RequestFingerprint> m_acquitted;
    std::set<RequestFingerprint> m_trialsBegun;
    Signal m_decided;
    std::function<bool(const std::string &)> m_expectedToEnd;
    std::function<void(const CrashReport &)> m_tellCrash;
    std::function<void(const QuarantineChange &)> m_tellChange;
};

}
