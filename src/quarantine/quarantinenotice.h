#pragma once

#include "link/link.pb.h"
#include "quarantine/poisonguard.h"

#include <optional>

namespace bamboohold {

/// Crashes and what follows from them, in the form that routers tell each other. What cannot be read names no request.
wire::CrashNotice toWire(const CrashReport &report);
wire::QuarantineNotice toWire(const QuarantineChange &change);
CrashReport fromWire(const wire::CrashNotice &notice);
std::optional<QuarantineChange> fromWire(const wire::QuarantineNotice &notice);

}
