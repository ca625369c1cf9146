#pragma once

#include <absl/strings/str_cat.h>

#include <string>

#include <unistd.h>

namespace bamboohold {

/// Returns a loopback address that depends on the process ID, so that test processes that run at the same time, from one checkout or
/// several, can listen on the same ports.
inline std::string ownAddress()
{
    constexpr unsigned byte = 256;
    const auto process = static_cast<unsigned>(::getpid());
    return absl::StrCat("127.", 64 + process / byte / byte % 64, ".", process / byte % byte, ".", process % byte);
}

}
