#include "inventory/teamkey.h"

#include <absl/strings/escaping.h>
#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <array>

namespace bamboohold {

namespace {

constexpr std::size_t s_secretBytes = 24;
constexpr std::size_t s_saltBytes = 16;

std::string randomHex(std::size_t bytes)
{
    std::string raw(bytes, '\0');
    RAND_bytes(reinterpret_cast<unsigned char *>(raw.data()), static_cast<int>(bytes));
    return absl::BytesToHexString(raw);
}

std::string saltedHash(std::string_view salt, std::string_view key)
{
    const std::string text = std::string(salt).append(key);
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    return absl::BytesToHexString({reinterpret_cast<const char *>(digest.data()), digest.size()});
}

}

std::string_view teamOfKey(std::string_view key)
{
    const std::size_t dot = key.find('.');
    return dot == std::string_view::npos ? std::string_view() : key.substr(0, dot);
}

std::string issueKey(Team &team)
{
    const std::string key = team.name + "." + randomHex(s_secretBytes);
    team.keySalt = randomHex(s_saltBytes);
    team.keySha256 = saltedHash(team.keySalt, key);
    return key;
}

bool keyMatches(const Team &team, std::string_view key)
{
    const std::string hash = saltedHash(team.keySalt, key);
    return hash.size() == team.keySha256.size() && CRYPTO_memcmp(hash.data(), team.keySha256.data(), hash.size()) == 0;
}

}
