#pragma once

#include "clock/instant.h"
#include "routing/streamorigin.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <optional>

namespace bamboohold {

/// What a process knows about the origin of a stream.
struct KnownOrigin {
    StreamOrigin origin;
    /// Two origins were recorded for the stream, so neither can be relied on.
    bool contradictory = false;
    /// Time since it was last recorded.
    Duration age{};
};

/// The origins of streams that a process keeps for routers. Pure: events and `now` in.
class StreamOriginStore
{
public:
    /// An origin is forgotten this long after it was last recorded; callers come back within seconds.
    static constexpr Duration s_lifetime = std::chrono::seconds(60);
    /// The most origins that are kept; the oldest are forgotten first. About 3 MB.
    static constexpr std::size_t s_maxOrigins = 20'000;

    /// Records the origin of a stream.
    void record(std::uint64_t key, const StreamOrigin &origin, Instant now);

    /// The origin of the stream; none when it is not known.
    std::optional<KnownOrigin> find(std::uint64_t key, Instant now) const;

    /// The number of origins that are kept.
    std::size_t size() const
    {
        return m_origins.size();
    }

private:
    struct Entry {
        StreamOrigin origin;
        bool contradictory = false;
        Instant recordedAt{};
    };

    /// A recording, in the order in which they were made.
    struct Recording {
        std::uint64_t key = 0;
        Instant at{};
    };

    void forgetOldest();

    absl::flat_hash_map<std::uint64_t, Entry> m_origins;
    std::deque<Recording> m_recordings;
};

}
