#include "caller/completionrequest.h"

#include "failure/failure.h"
#include "store/table.h"

#include <absl/strings/str_cat.h>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace bamboohold {

namespace {

/// Maximum number of tokens that a chat template adds around the messages.
constexpr Tokens s_chatTemplateTokens = 64;
constexpr std::int64_t s_maxChoices = 16;

absl::Status invalid(std::string_view detail)
{
    return failed(FailureKind::InvalidRequest, detail);
}

absl::StatusOr<std::int64_t>
integerInRange(const boost::json::object &object, std::string_view field, std::int64_t max, std::int64_t defaultValue)
{
    const auto *value = object.if_contains({field.data(), field.size()});
    if (value == nullptr || value->is_null()) {
        return defaultValue;
    }
    if (!value->is_int64() || value->get_int64() < 1 || value->get_int64() > max) {
        return invalid(absl::StrCat("'", std::string(field), "' must be a whole number from 1 to ", max));
    }
    return value->get_int64();
}

}

absl::StatusOr<CompletionRequest> readCompletionRequest(std::string_view body, bool chat, const OutputLimits &limits)
{
    boost::json::error_code error;
    boost::json::value document = boost::json::parse({body.data(), body.size()}, error);
    if (error || !document.is_object()) {
        return invalid("the body must be a JSON object");
    }
    boost::json::object &object = document.get_object();
    CompletionRequest request{.model = textField(object, "model")};
    if (request.model.empty()) {
        return invalid("'model' must be a non-empty string");
    }
    const auto *prompt = object.if_contains(chat ? "messages" : "prompt");
    const bool promptGiven = prompt != nullptr && (chat ? prompt->is_array() && !prompt->get_array().empty() : prompt->is_string());
    if (!promptGiven) {
        return invalid(chat ? "'messages' must be a non-empty list" : "'prompt' must be a string");
    }
    const auto *stream = object.if_contains("stream");
    if (stream != nullptr && !stream->is_bool()) {
        return invalid("'stream' must be true or false");
    }
    request.streamed = stream != nullptr && stream->get_bool();
    const std::string_view limitField = object.contains("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
    const auto limit = integerInRange(object, limitField, limits.maxLimit, limits.defaultLimit);
    const auto choices = integerInRange(object, "n", s_maxChoices, 1);
    if (!limit.ok()) {
        return limit.status();
    }
    if (!choices.ok()) {
        return choices.status();
    }
    request.outputLimit = *limit * *choices;
    object.erase("max_completion_tokens");
    object["max_tokens"] = *limit;
    if (request.streamed) {
        object["stream_options"] = {{"include_usage", true}, {"continuous_usage_stats", true}};
    }
    request.engineBody = boost::json::serialize(object);
    request.bound = static_cast<Tokens>(request.engineBody.size()) + s_chatTemplateTokens + request.outputLimit;
    return request;
}

}
