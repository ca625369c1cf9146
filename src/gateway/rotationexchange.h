#pragma once

#include "clock/instant.h"
#include "membership/peerlink.h"
#include "overload/rotation.h"

#include <string>
#include <vector>

namespace bamboohold {

/// Exchanges with the other routers of the failure domain which of them are out of rotation and what their hosts can carry: the runtime
/// around Rotation. The link and the rotation must outlive this object.
///
/// The routers of a domain learn of each other from the failure domain in the notices that each router sends to all others when a
/// configuration comes into force. A router that hears of one that it did not know answers with its own state.
class RotationExchange
{
public:
    RotationExchange(PeerLink &link, Rotation &rotation, std::string failureDomain);

    /// Tells the other routers of the domain the state of this one.
    void notifyRouters(bool changed, Instant now);

    /// Forgets the routers that are not among these live ones.
    void setRouters(const std::vector<std::string> &routers);

private:
    void handleNotice(const std::string &peer, const wire::RotationNotice &notice);
    void handleDomain(const std::string &peer, const std::string &failureDomain);
    wire::RotationNotice ownNotice(Instant now) const;

    PeerLink &m_link;
    Rotation &m_rotation;
    std::string m_failureDomain;
};

}
