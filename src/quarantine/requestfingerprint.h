#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace bamboohold {

/// The fields that identify a repeated request, whatever its request id.
struct FingerprintSource {
    /// Empty on routes that accept callers without a key.
    std::string_view team;
    std::string_view method;
    std::string_view host;
    /// Path and query.
    std::string_view target;
    std::string_view body;
};

/// The fields that identify a part of prompts. Targets of another service, or another model, may process the same part without harm.
struct PartSource {
    std::string_view service;
    std::string_view model;
    /// The id by which callers name the part.
    std::uint64_t part = 0;
};

/// Identifies what may crash targets, on all routers alike: a repeated request, by a digest, or a part that the prompts of different
/// requests share, by its id.
class RequestFingerprint
{
public:
    /// Sizes in bytes of the address hash and of the truncated digest. A caller that found two requests with the same 16-byte digest could
    /// have one refused in place of the other. The team is part of the digest, so this affects at most its own requests.
    static constexpr std::size_t s_addressSize = 8;
    static constexpr std::size_t s_digestSize = 16;
    static constexpr std::size_t s_size = s_addressSize + s_digestSize;

    /// Returns the fingerprint of the whole request.
    static RequestFingerprint of(const FingerprintSource &source);

    /// Returns the fingerprint of team, path and body only, without parts that a caller may vary, such as a query that bypasses caches.
    static RequestFingerprint ofCore(const FingerprintSource &source);

    /// Returns the fingerprint of a part of prompts. Its address hash is the part's id, so that the fingerprints of one part under several
    /// services and models are adjacent in the sort order.
    static RequestFingerprint ofPart(const PartSource &source);

    /// Returns true for the fingerprint of a part of prompts, false for that of a request.
    bool isPart() const;

    /// Returns a hash of team and path. It is computed first, so that a long body is only digested for the few requests that may match.
    static std::uint64_t addressHash(const FingerprintSource &source);

    /// Returns the address hash of the request, or the id of the part.
    std::uint64_t addressHash() const;

    /// Parses the result of `bytes`; nullopt if the size is wrong.
    static std::optional<RequestFingerprint> fromBytes(std::string_view bytes);

    /// Parses the result of `text`; nullopt for any other text.
    static std::optional<RequestFingerprint> fromText(std::string_view text);

    std::string_view bytes() const
    {
        return {m_bytes.data(), m_bytes.size()};
    }

    /// Returns the fingerprint in lower-case hexadecimal, as used in logs and as a row key.
    std::string text() const;

    /// Returns the id of the part in lower-case hexadecimal, as callers name it; empty for a request.
    std::string partText() const;

    bool operator==(const RequestFingerprint &) const = default;
    bool operator<(const RequestFingerprint &other) const
    {
        // Compares unsigned bytes, so that fingerprints with the same address hash are adjacent, beginning with the one whose digest is all
        // zeros.
        return bytes() < other.bytes();
    }

private:
    static RequestFingerprint made(const FingerprintSource &source, std::span<const char> digest);

    std::array<char, s_size> m_bytes{};
};

/// Both fingerprints of a request. Requests that differ only in their query may be copies of one request or different ones, so both
/// fingerprints are tracked.
using FingerprintPair = std::array<RequestFingerprint, 2>;

/// Returns the core fingerprint first. Logs identify the request by that one.
FingerprintPair fingerprintsOf(const FingerprintSource &source);

}
