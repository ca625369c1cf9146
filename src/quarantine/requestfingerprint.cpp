#include "quarantine/requestfingerprint.h"

#include "routing/stablehash.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_format.h>
#include <boost/endian/conversion.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <initializer_list>
#include <memory>

namespace bamboohold {

namespace {

/// The second half of each part's digest. The digest of a request ends so with a probability of 2^-64.
constexpr std::uint64_t s_partMark = 0x70726f6d70745f70ULL;
constexpr std::size_t s_scopeSize = 8;

/// Adds a field preceded by its length, so that no two different lists of fields give the same input.
void addField(EVP_MD_CTX *context, std::string_view field)
{
    const std::uint64_t size = field.size();
    EVP_DigestUpdate(context, &size, sizeof size);
    EVP_DigestUpdate(context, field.data(), field.size());
}

std::string_view pathOf(const FingerprintSource &source)
{
    return source.target.substr(0, source.target.find('?'));
}

/// Returns the SHA-256 digest of the fields, truncated to `Size` bytes.
template<std::size_t Size>
std::array<char, Size> digestOf(std::initializer_list<std::string_view> fields)
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const std::string_view field : fields) {
        addField(context.get(), field);
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
    std::array<char, Size> kept{};
    std::copy_n(digest.begin(), Size, kept.begin());
    return kept;
}

}

RequestFingerprint RequestFingerprint::made(const FingerprintSource &source, std::span<const char> digest)
{
    RequestFingerprint fingerprint;
    boost::endian::store_big_u64(reinterpret_cast<unsigned char *>(fingerprint.m_bytes.data()), addressHash(source));
    std::ranges::copy(digest, fingerprint.m_bytes.begin() + s_addressSize);
    return fingerprint;
}

RequestFingerprint RequestFingerprint::of(const FingerprintSource &source)
{
    return made(source, digestOf<s_digestSize>({"whole", source.team, source.method, source.host, source.target, source.body}));
}

RequestFingerprint RequestFingerprint::ofCore(const FingerprintSource &source)
{
    return made(source, digestOf<s_digestSize>({"core", source.team, pathOf(source), source.body}));
}

RequestFingerprint RequestFingerprint::ofPart(const PartSource &source)
{
    RequestFingerprint fingerprint;
    const std::uint64_t scope = mixed(stableHash(source.service) ^ mixed(stableHash(source.model)));
    unsigned char *bytes = reinterpret_cast<unsigned char *>(fingerprint.m_bytes.data());
    boost::endian::store_big_u64(bytes, source.part);
    boost::endian::store_big_u64(bytes + s_addressSize, scope);
    boost::endian::store_big_u64(bytes + s_addressSize + s_scopeSize, s_partMark);
    return fingerprint;
}

bool RequestFingerprint::isPart() const
{
    const auto *bytes = reinterpret_cast<const unsigned char *>(m_bytes.data());
    return boost::endian::load_big_u64(bytes + s_addressSize + s_scopeSize) == s_partMark;
}

std::uint64_t RequestFingerprint::addressHash(const FingerprintSource &source)
{
    std::uint64_t hash = 0;
    for (const std::string_view field : {source.team, pathOf(source)}) {
        hash = mixed(hash ^ stableHash(field));
    }
    return hash;
}

std::uint64_t RequestFingerprint::addressHash() const
{
    return boost::endian::load_big_u64(reinterpret_cast<const unsigned char *>(m_bytes.data()));
}

std::optional<RequestFingerprint> RequestFingerprint::fromBytes(std::string_view bytes)
{
    if (bytes.size() != s_size) {
        return std::nullopt;
    }
    RequestFingerprint fingerprint;
    std::ranges::copy(bytes, fingerprint.m_bytes.begin());
    return fingerprint;
}

std::optional<RequestFingerprint> RequestFingerprint::fromText(std::string_view text)
{
    const bool hexadecimal = std::ranges::all_of(text, [](char letter) {
        return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f');
    });
    if (!hexadecimal || text.size() != 2 * s_size) {
        return std::nullopt;
    }
    return fromBytes(absl::HexStringToBytes({text.data(), text.size()}));
}

std::string RequestFingerprint::text() const
{
    return absl::BytesToHexString({m_bytes.data(), m_bytes.size()});
}

std::string RequestFingerprint::partText() const
{
    return isPart() ? absl::StrFormat("%x", addressHash()) : std::string();
}

FingerprintPair fingerprintsOf(const FingerprintSource &source)
{
    return {RequestFingerprint::ofCore(source), RequestFingerprint::of(source)};
}

}
