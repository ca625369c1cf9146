#pragma once

#include "gateway/callercodec.h"
#include "gateway/routingplan.h"
#include "gateway/streamcontinuation.h"
#include "gateway/streamorigins.h"
#include "operations/metrics.h"

#include <boost/asio/awaitable.hpp>

#include <string>
#include <string_view>

namespace bamboohold {

/// Binds the stream of one request to the software version that began it: at the request before, which the caller continues, or at the
/// first event of the request's own answer. The runtime around decideContinuation(). Lives on one event loop.
class StreamBinding
{
public:
    /// The request, with the service that serves it. The metadata and the route must outlive the call.
    struct Request {
        const RequestMetadata &metadata;
        const Route &route;
        std::string_view team;
        std::string service;
    };

    /// The balancer, the origins and the metrics must outlive this object.
    StreamBinding(const TargetBalancer &balancer, StreamOrigins &origins, Metrics &metrics);

    /// Decides where a stream goes on that the caller takes up, and binds it to its version. May wait for the keepers of the stream.
    boost::asio::awaitable<Continuation> takeUp(Request request);

    /// The first event of the answer has arrived from this target and is about to be sent to the caller.
    void streamBegins(const Request &request, const Placement &placement);

    /// Whether the stream of this answer may go on at another target. Binds one of an unknown version if the service has had one only.
    bool mayGoOn(const Request &request);

    /// The version that targets of the request must have; empty: any.
    const std::string &version() const
    {
        return m_version;
    }

private:
    void
    log(const Request &request, const Continuation &continuation, const ContinuationFacts &facts, const StreamQueryResult &keepers) const;

    const TargetBalancer &m_balancer;
    StreamOrigins &m_origins;
    Metrics &m_metrics;
    std::string m_version;
    /// The answer began at a target whose version is not known.
    bool m_versionUnknown = false;
    /// The stream was begun by an earlier request of the caller, at a known version.
    bool m_originKnown = false;
};

}
