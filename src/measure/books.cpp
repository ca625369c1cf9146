#include "measure/bookfleet.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <array>
#include <iostream>
#include <string_view>

DEFINE_int32(routers, 8, "routers of the fleet");
DEFINE_double(requests_per_second, 60, "requests of the whole fleet");
DEFINE_double(seconds, 30, "simulated time in which requests come");
DEFINE_int64(prepaid, 3'200'000, "tokens of each of the four budgets; what is paid for but not enough to be called ample");
DEFINE_uint64(seed, 1, "of the random draws");

namespace {

using namespace bamboohold;

struct NamedCause {
    Cause cause;
    std::string_view name;
};

constexpr std::array<NamedCause, 10> s_causes{{{Cause::None, "none"},
                                               {Cause::CallerLeft, "a tenth of the callers leave midway"},
                                               {Cause::Resumed, "a tenth of the streams break off and go on elsewhere"},
                                               {Cause::BrokenOff, "a tenth of the answers break off for good"},
                                               {Cause::LoansLost, "a tenth of the loans get lost"},
                                               {Cause::GiftsLost, "a tenth of the gifts get lost"},
                                               {Cause::PlannedStops, "every router is restarted once as planned"},
                                               {Cause::OneDies, "every router dies once"},
                                               {Cause::AllDie, "all routers die together once"},
                                               {Cause::AllDieWithoutStore, "all routers die together three seconds after the store went"}}};

void measure(const NamedCause &named)
{
    BookFleet fleet({.cause = named.cause,
                     .routers = FLAGS_routers,
                     .requestsPerSecond = FLAGS_requests_per_second,
                     .seconds = FLAGS_seconds,
                     .prepaid = FLAGS_prepaid,
                     .seed = FLAGS_seed});
    fleet.run();
    const Tokens booked = fleet.booked();
    const auto delivered = static_cast<double>(fleet.delivered());
    std::cout << boost::json::serialize(boost::json::object{{"measure", "books"},
                                                            {"cause", named.name},
                                                            {"routers", FLAGS_routers},
                                                            {"requests", fleet.requests()},
                                                            {"refused", fleet.refused()},
                                                            {"delivered", fleet.delivered()},
                                                            {"booked", booked},
                                                            {"booked_minus_delivered", booked - fleet.delivered()},
                                                            {"of_it_in_flight_at_deaths", fleet.inFlightLost()},
                                                            {"of_it_loans_at_deaths", fleet.loansLost()},
                                                            {"share", static_cast<double>(booked - fleet.delivered()) / delivered}})
              << "\n";
}

}

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("prints what budgets book beyond what callers got, by cause, on the decision objects");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    for (const NamedCause &named : s_causes) {
        measure(named);
    }
    return 0;
}
