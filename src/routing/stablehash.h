#pragma once

#include <cstdint>
#include <string_view>

namespace bamboohold {

/// The finalizer of splitmix64. Its result is the same in every process, so that routers agree without exchanging messages.
constexpr std::uint64_t mixed(std::uint64_t value)
{
    value ^= value >> 30;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27;
    value *= 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

/// FNV-1a hash. Its result is the same in every process, unlike that of Abseil's hashes, which are seeded per process.
constexpr std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char letter : text) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001b3ULL;
    }
    return hash;
}

}
