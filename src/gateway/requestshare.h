#pragma once

#include "operations/metrics.h"
#include "overload/serviceshares.h"

#include <string>

namespace bamboohold {

/// One request in the account of what teams, routes and sizes ask and get. A request that ends without having been sent to a target or
/// refused because of load, because its team's budget is spent or it is quarantined for example, counts as not asked. Logs and counts
/// teams that are short of service.
class RequestShare
{
public:
    /// Both must outlive this object.
    RequestShare(ServiceShares &shares, Metrics &metrics);
    ~RequestShare();

    RequestShare(const RequestShare &) = delete;
    RequestShare &operator=(const RequestShare &) = delete;

    void arrive(const ServiceShares::Request &request, Instant now);

    /// Whether the request must not be refused because of load.
    bool isPromised() const
    {
        return m_place.isPromised;
    }

    void dispatched(Instant now);

    /// The request was refused because of load, or its target declined it. `reason` is a literal.
    void refused(std::string_view reason, Instant now);

private:
    ServiceShares &m_shares;
    Metrics &m_metrics;
    ServiceShares::Place m_place;
    std::string m_team;
    std::string m_service;
    bool m_decided = true;
};

}
