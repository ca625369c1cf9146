#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bamboohold {

/// What makes a request the same one as an earlier one, whatever its id: who sends it, and what it asks for.
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
    static constexpr std::size_t s_size = s_addressSize + 16;

    static RequestFingerprint of(const FingerprintSource &source);

    /// A hash of everything but the body: what tells most requests from the few that are looked for, before a long body is digested.
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
    std::array<char, s_size> m_bytes{};
};

}
