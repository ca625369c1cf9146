#include "quarantine/quarantinenotice.h"

#include "operations/log.h"

#include <algorithm>

namespace bamboohold {

namespace {

void addFingerprint(const std::string &bytes, CrashReport &report)
{
    if (const std::optional<RequestFingerprint> fingerprint = RequestFingerprint::fromBytes(bytes)) {
        report.inFlight.push_back(*fingerprint);
    } else {
        logLine(Severity::Warning, "quarantine.notice_unreadable", {{"bytes", static_cast<std::int64_t>(bytes.size())}});
    }
}

}

wire::CrashNotice toWire(const CrashReport &report)
{
    wire::CrashNotice notice;
    notice.set_target(report.target);
    notice.set_broke_off(!report.confirmed);
    notice.set_ago_ms(std::chrono::duration_cast<std::chrono::milliseconds>(report.ago).count());
    for (const RequestFingerprint &fingerprint : report.inFlight) {
        if (fingerprint.isPart()) {
            notice.add_parts()->assign(fingerprint.bytes());
            notice.add_part_requests(static_cast<std::uint32_t>(notice.under_way_size()));
        } else {
            notice.add_under_way()->assign(fingerprint.bytes());
        }
    }
    return notice;
}

wire::QuarantineNotice toWire(const QuarantineChange &change)
{
    wire::QuarantineNotice notice;
    if (change.fingerprint.isPart()) {
        notice.set_part(std::string(change.fingerprint.bytes()));
        notice.set_since_crash_ms(std::chrono::duration_cast<std::chrono::milliseconds>(change.sinceCrash).count());
        notice.set_joint_trial(change.jointTrial);
        notice.set_trial_begins(change.trialBegins);
    } else {
        notice.set_fingerprint(std::string(change.fingerprint.bytes()));
    }
    notice.set_remaining_ms(std::chrono::duration_cast<std::chrono::milliseconds>(change.remaining).count());
    notice.set_terms(change.quarantineLevel);
    notice.set_trials(change.trials);
    notice.set_answers(change.answers);
    return notice;
}

CrashReport fromWire(const wire::CrashNotice &notice)
{
    CrashReport report{.target = notice.target(),
                       .inFlight = {},
                       .confirmed = !notice.broke_off(),
                       .ago = std::max(Quarantine::clampedDuration(notice.ago_ms()), Duration::zero())};
    int part = 0;
    const auto addPartsOf = [&](int requests) {
        while (part < notice.parts_size()
               && (part >= notice.part_requests_size() || notice.part_requests(part) <= static_cast<std::uint32_t>(requests))) {
            addFingerprint(notice.parts(part), report);
            ++part;
        }
    };
    addPartsOf(0);
    for (int request = 0; request < notice.under_way_size(); ++request) {
        addFingerprint(notice.under_way(request), report);
        addPartsOf(request + 1);
    }
    return report;
}

std::optional<QuarantineChange> fromWire(const wire::QuarantineNotice &notice)
{
    const std::string &bytes = notice.part().empty() ? notice.fingerprint() : notice.part();
    const std::optional<RequestFingerprint> fingerprint = RequestFingerprint::fromBytes(bytes);
    if (!fingerprint) {
        logLine(Severity::Warning, "quarantine.notice_unreadable", {{"bytes", static_cast<std::int64_t>(bytes.size())}});
        return std::nullopt;
    }
    return QuarantineChange{.fingerprint = *fingerprint,
                            .remaining = Quarantine::clampedDuration(notice.remaining_ms()),
                            .quarantineLevel = notice.terms(),
                            .trials = notice.trials(),
                            .answers = notice.answers(),
                            .sinceCrash = Quarantine::clampedDuration(notice.since_crash_ms()),
                            .jointTrial = notice.joint_trial(),
                            .trialBegins = notice.trial_begins()};
}

}
