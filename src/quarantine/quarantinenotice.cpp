#include "quarantine/quarantinenotice.h"

#include "operations/log.h"

#include <algorithm>

namespace bamboohold {

wire::CrashNotice toWire(const CrashReport &report)
{
    wire::CrashNotice notice;
    notice.set_target(report.target);
    notice.set_broke_off(!report.confirmed);
    notice.set_ago_ms(std::chrono::duration_cast<std::chrono::milliseconds>(report.ago).count());
    for (const RequestFingerprint &fingerprint : report.inFlight) {
        notice.add_under_way(std::string(fingerprint.bytes()));
    }
    return notice;
}

wire::QuarantineNotice toWire(const QuarantineChange &change)
{
    wire::QuarantineNotice notice;
    notice.set_fingerprint(std::string(change.fingerprint.bytes()));
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
    for (const std::string &bytes : notice.under_way()) {
        if (const std::optional<RequestFingerprint> fingerprint = RequestFingerprint::fromBytes(bytes)) {
            report.inFlight.push_back(*fingerprint);
        } else {
            logLine(Severity::Warning, "quarantine.notice_unreadable", {{"bytes", static_cast<std::int64_t>(bytes.size())}});
        }
    }
    return report;
}

std::optional<QuarantineChange> fromWire(const wire::QuarantineNotice &notice)
{
    const std::optional<RequestFingerprint> fingerprint = RequestFingerprint::fromBytes(notice.fingerprint());
    if (!fingerprint) {
        logLine(Severity::Warning, "quarantine.notice_unreadable", {{"bytes", static_cast<std::int64_t>(notice.fingerprint().size())}});
        return std::nullopt;
    }
    return QuarantineChange{.fingerprint = *fingerprint,
                            .remaining = Quarantine::clampedDuration(notice.remaining_ms()),
                            .quarantineLevel = notice.terms(),
                            .trials = notice.trials(),
                            .answers = notice.answers()};
}

}
