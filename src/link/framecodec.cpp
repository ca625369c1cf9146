#include "link/framecodec.h"

#include <array>
#include <utility>

namespace bamboohold {

namespace {

constexpr std::array s_refusals{
    std::pair{RunRefusal::Full, wire::REFUSAL_FULL},
    std::pair{RunRefusal::Leaving, wire::REFUSAL_LEAVING},
    std::pair{RunRefusal::Sealed, wire::REFUSAL_SEALED},
    std::pair{RunRefusal::WrongIncarnation, wire::REFUSAL_WRONG_INCARNATION},
    std::pair{RunRefusal::EngineUnreachable, wire::REFUSAL_ENGINE_UNREACHABLE},
    std::pair{RunRefusal::Duplicate, wire::REFUSAL_DUPLICATE},
    std::pair{RunRefusal::Expired, wire::REFUSAL_EXPIRED},
};

constexpr std::array s_ends{
    std::pair{RunEnd::Complete, wire::RUN_END_COMPLETE},
    std::pair{RunEnd::FailedAfterRunning, wire::RUN_END_FAILED_AFTER_RUNNING},
    std::pair{RunEnd::Cancelled, wire::RUN_END_CANCELLED},
    std::pair{RunEnd::NotRun, wire::RUN_END_NOT_RUN},
    std::pair{RunEnd::Unknown, wire::RUN_END_UNKNOWN},
};

template<typename Pairs, typename From>
auto translate(const Pairs &pairs, From from)
{
    for (const auto &[internalValue, wireValue] : pairs) {
        if constexpr (std::is_same_v<std::remove_const_t<decltype(internalValue)>, From>) {
            if (internalValue == from) {
                return wireValue;
            }
        } else if (wireValue == from) {
            return internalValue;
        }
    }
    if constexpr (std::is_same_v<std::remove_const_t<decltype(pairs.front().first)>, From>) {
        return pairs.back().second;
    } else {
        return pairs.back().first;
    }
}

struct ContentWriter {
    wire::Frame &message;

    void operator()(const AnswerFrame::Head &head) const
    {
        message.mutable_head()->set_status(head.status);
        message.mutable_head()->set_content_type(head.contentType);
    }

    void operator()(const AnswerFrame::PromptCounted &prompt) const
    {
        message.set_prompt_tokens(prompt.tokens);
    }

    void operator()(const AnswerFrame::Data &data) const
    {
        message.set_data(data.bytes);
    }

    void operator()(const AnswerFrame::End &end) const
    {
        wire::FrameEnd &wireEnd = *message.mutable_end();
        wireEnd.set_end(toWire(end.end));
        wireEnd.set_charged(end.charged);
        wireEnd.set_data_bytes(end.dataBytes);
        if (end.usage) {
            wireEnd.mutable_usage()->set_reported(true);
            wireEnd.mutable_usage()->set_prompt_tokens(end.usage->prompt);
            wireEnd.mutable_usage()->set_output_tokens(end.usage->output);
        }
    }

    void operator()(const AnswerFrame::Refused &refused) const
    {
        message.set_refusal(translate(s_refusals, refused.reason));
    }
};

}

AnswerFrame::End fromWire(const wire::FrameEnd &message)
{
    AnswerFrame::End end{.end = translate(s_ends, message.end()), .charged = message.charged(), .dataBytes = message.data_bytes()};
    if (message.usage().reported()) {
        end.usage = TokenUsage{.prompt = message.usage().prompt_tokens(), .output = message.usage().output_tokens()};
    }
    return end;
}

RunEnd fromWire(wire::RunEnd end)
{
    return translate(s_ends, end);
}

wire::RunEnd toWire(RunEnd end)
{
    return translate(s_ends, end);
}

wire::Frame toWire(std::string_view requestId, const AnswerFrame &frame)
{
    wire::Frame message;
    message.set_request_id(requestId.data(), requestId.size());
    message.set_attempt(frame.attempt);
    message.set_sequence(frame.sequence);
    std::visit(ContentWriter{message}, frame.content);
    return message;
}

AnswerFrame fromWire(wire::Frame &message)
{
    AnswerFrame frame{.attempt = message.attempt(), .sequence = message.sequence()};
    switch (message.content_case()) {
    case wire::Frame::kHead:
        frame.content = AnswerFrame::Head{.status = message.head().status(), .contentType = message.head().content_type()};
        break;
    case wire::Frame::kData:
        frame.content = AnswerFrame::Data{.bytes = std::move(*message.mutable_data())};
        break;
    case wire::Frame::kPromptTokens:
        frame.content = AnswerFrame::PromptCounted{.tokens = message.prompt_tokens()};
        break;
    case wire::Frame::kRefusal:
        frame.content = AnswerFrame::Refused{.reason = translate(s_refusals, message.refusal())};
        break;
    case wire::Frame::kEnd:
        frame.content = fromWire(message.end());
        break;
    case wire::Frame::CONTENT_NOT_SET:
        frame.content = AnswerFrame::End{};
        break;
    }
    return frame;
}

}
