#pragma once

#include "link/link.pb.h"
#include "quarantine/poisonguard.h"

#include <optional>

namespace bamboohold {

/// Converts crash reports and quarantine changes to and from the messages that routers exchange. Parts of prompts have fields of their own,
/// which routers of earlier versions ignore: these would take a part for a request that is never answered. Fingerprints that cannot be
/// parsed are logged and left out; a quarantine change without a valid fingerprint gives nullopt.
wire::CrashNotice toWire(const CrashReport &report);
wire::QuarantineNotice toWire(const QuarantineChange &change);
CrashReport fromWire(const wire::CrashNotice &notice);
std::optional<QuarantineChange> fromWire(const wire::QuarantineNotice &notice);

}
