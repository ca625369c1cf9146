#pragma once

#include "engine/runtable.h"
#include "link/link.pb.h"
#include "request/requeststatemachine.h"

namespace bamboohold {

/// Converts a frame of an answer to its message.
wire::Frame toWire(std::string_view requestId, const AnswerFrame &frame);

/// Converts a message to a frame. A message without content becomes an end with an unknown outcome.
AnswerFrame fromWire(wire::Frame &message);

/// Converts the end of an answer from its message.
AnswerFrame::End fromWire(const wire::FrameEnd &message);

/// Converts how a run ended from its wire value; unknown values become RunEnd::Unknown.
RunEnd fromWire(wire::RunEnd end);

/// Converts how a run ended to its wire value.
wire::RunEnd toWire(RunEnd end);

}
