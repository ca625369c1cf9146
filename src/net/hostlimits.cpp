#include "net/hostlimits.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

namespace bamboohold {

namespace {

constexpr double s_bytesPerMegabyte = 1'000'000;

double smallerLimit(double stated, double system)
{
    if (stated <= 0 || system <= 0) {
        return std::max(stated, system);
    }
    return std::min(stated, system);
}

double physicalMemoryMb()
{
    return static_cast<double>(::sysconf(_SC_PHYS_PAGES)) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / s_bytesPerMegabyte;
}

double openFilesLimit()
{
    rlimit limit{};
    const bool limited = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    return limited ? static_cast<double>(limit.rlim_cur) : 0;
}

}

HostResources withinSystemLimits(HostResources stated)
{
    return {.memoryMb = smallerLimit(stated.memoryMb, physicalMemoryMb()),
            .maxDescriptors = smallerLimit(stated.maxDescriptors, openFilesLimit())};
}

}
