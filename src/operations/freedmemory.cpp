#include "operations/freedmemory.h"

#include <malloc.h>

namespace bamboohold {

namespace {

constexpr int s_mappedBytes = 64 * 1024;
constexpr int s_trimmedBytes = 256 * 1024;
constexpr int s_heaps = 2;

}

void returnFreedMemory()
{
    // Setting the size also keeps glibc from raising it, up to 32 MB, when a longer buffer is freed.
    ::mallopt(M_MMAP_THRESHOLD, s_mappedBytes);
    ::mallopt(M_TRIM_THRESHOLD, s_trimmedBytes);
    ::mallopt(M_ARENA_MAX, s_heaps);
}

}
