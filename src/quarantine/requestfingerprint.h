#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace bamboohold {

/// What makes a request the same one as an earlier one, whatever its id.
struct FingerprintSource {
    /// Empty on routes that are open to callers without a key.
    std::string_view team;
    std::string_view method;
    std::string_view host;
    /// Path and query.
    std::string_view target;
    std::string_view body;
};

/// A digest by which all routers recognise a request that comes again.
class RequestFingerprint
{
public:
    /// Bytes of the address hash, and kept of the digest of everything. A caller that could find two requests with the same 16 bytes of
    /// digest could have one of them refused for the other; the team is part of it, so at most its own.
    static constexpr std::size_t s_addressSize = 8;
    static constexpr std::size_t s_digestSize = 16;
    static constexpr std::size_t s_size = s_addressSize + s_digestSize;

    /// Of the whole request.
    static RequestFingerprint of(const FingerprintSource &source);

    /// Of what it is at its core: team, path and body, without what callers may change each time, such as a query that only defeats caches.
    static RequestFingerprint ofCore(const FingerprintSource &source);

    /// A hash of team and path: what tells most requests from the few that are looked for, before a long body is digested.
    static std::uint64_t addressHash(const FingerprintSource &source);

    /// The address hash of the request.
    std::uint64_t addressHash() const;

    /// The fingerprint with these bytes, as `bytes` gave them; none when their number is another.
    static std::optional<RequestFingerprint> fromBytes(std::string_view bytes);

    /// The fingerprint that `text` gave; none for any other text.
    static std::optional<RequestFingerprint> fromText(std::string_view text);

    std::string_view bytes() const
    {
        return {m_bytes.data(), m_bytes.size()};
    }

    /// In hexadecimal, as logs and keys of rows have it.
    std::string text() const;

    bool operator==(const RequestFingerprint &) const = default;
    bool operator<(const RequestFingerprint &other) const
    {
        // By unsigned bytes: those of one address stand together, from the one whose digest is all zeros on.
        return bytes() < other.bytes();
    }

private:
    static RequestFingerprint made(const FingerprintSource &source, std::span<const char> digest);

    std::array<char, s_size> m_bytes{};
};

/// Both fingerprints of a request. Requests that differ in their query alone may be one that comes again, or many: each is looked at.
using FingerprintPair = std::array<RequestFingerprint, 2>;

/// Core first: it is what logs name the request by.
FingerprintPair fingerprintsOf(const FingerprintSource &source);

}
