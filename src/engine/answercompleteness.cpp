#include "engine/answercompleteness.h"

#include "engine/usagescanner.h"

namespace bamboohold {

AnswerCompleteness::AnswerCompleteness(AnswerFraming framing, std::string_view contentType)
    : m_eventStream(contentType.starts_with("text/event-stream"))
{
    if (framing == AnswerFraming::Connection && contentType.starts_with("application/json")) {
        m_json.emplace();
    }
}

void AnswerCompleteness::feed(std::string_view bytes)
{
    if (!m_json || m_malformed) {
        return;
    }
    boost::json::error_code error;
    m_json->write(bytes.data(), bytes.size(), error);
    m_malformed = error.failed();
}

bool AnswerCompleteness::complete(const UsageScanner &scanner) const
{
    if (m_eventStream) {
        return scanner.sawEndOfStream();
    }
    return !m_json || (!m_malformed && m_json->done());
}

}
