#include "gateway/shutdownsequence.h"

namespace bamboohold {

bool ShutdownSequence::mayLeave(Step step, const Load &load, Instant now) const
{
    const bool connectionsEnded = !load.listening && load.connections == 0;
    switch (step) {
    case Step::Serve:
        // A refused connection serves nobody, and the process cannot end before its streams do. The time that they take is therefore used
        // to accept more requests.
        return now >= workDeadline() - m_options.connectionReserve
            || (now >= m_options.startedAt + m_options.rotationTime && load.streams == 0 && load.mayLeave);
    case Step::EndConnections:
        return now >= workDeadline() || connectionsEnded;
    case Step::ReturnBudgets:
        return now >= m_options.startedAt + m_options.gracePeriod - m_options.stopReserve || (load.budgetsReturned && connectionsEnded);
    case Step::Stop:
        break;
    }
    return false;
}

ShutdownSequence::Step ShutdownSequence::update(const Load &load, Instant now)
{
    if (mayLeave(m_step, load, now)) {
        m_step = static_cast<Step>(static_cast<int>(m_step) + 1);
    }
    return m_step;
}

}
