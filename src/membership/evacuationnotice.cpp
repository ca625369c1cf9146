#include "membership/evacuationnotice.h"

namespace bamboohold {

wire::EvacuationNotice toWire(const Evacuations::State &state)
{
    wire::EvacuationNotice notice;
    notice.set_generation(state.generation);
    notice.set_version(state.version);
    for (const std::string &domain : state.domains) {
        notice.add_domains(domain);
    }
    return notice;
}

Evacuations::State fromWire(const wire::EvacuationNotice &notice)
{
    return {.generation = notice.generation(), .version = notice.version(), .domains = {notice.domains().begin(), notice.domains().end()}};
}

}
