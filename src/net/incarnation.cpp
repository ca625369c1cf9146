#include "net/incarnation.h"

#include <absl/strings/escaping.h>
#include <openssl/rand.h>

#include <array>
#include <cstdint>

namespace bamboohold {

namespace {

std::string randomHex(std::size_t bytes)
{
    std::string raw(bytes, '\0');
    RAND_bytes(reinterpret_cast<unsigned char *>(raw.data()), static_cast<int>(bytes));
    return absl::BytesToHexString(raw);
}

}

std::string newIncarnation(std::string_view name)
{
    return std::string(name).append("~").append(randomHex(8));
}

std::string newRequestId()
{
    return randomHex(16);
}

}
