#pragma once

#include "engine/runtable.h"
#include "link/link.pb.h"
#include "request/requeststatemachine.h"

namespace bamboohold {

/// Turns an answer's frame into its message.
wire::Frame toWire(std::string_view requestId, const AnswerFrame &frame);

/// Turns a message back into a frame. A message without content becomes an end of unknown outcome.
AnswerFrame fromWire(wire::Frame &message);

/// End of a run from its wire form.
AnswerFrame::End fromWire(const wire::FrameEnd &message);

/// Run's end from its wire form.
RunEnd fromWire(wire::RunEnd end);

/// Wire form of a run's end.
wire::RunEnd toWire(RunEnd end);

}
