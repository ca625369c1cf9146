#pragma once

#include "clock/instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bamboohold {

/// Room in memory for holdings that grow until they are complete, such as bodies of requests while they arrive.
///
/// A holding that grows could wait for room that others hold which wait for room, too. So whatever else is granted, enough is left for the
/// oldest one that is still growing, and it alone may take more than there is if nothing else is held: a single request always finds room.
/// Holdings that make no progress yield to those that wait. Pure: sizes, progress and `now` in.
class GrowingRoom
{
public:
    using Id = std::uint64_t;

    struct Options {
        std::uint64_t bytes = 0;
        /// A holding that has made no progress for this long yields to one that waits.
        Duration stallTime = std::chrono::seconds(1);
        /// Bytes that count as progress: this many, or this part of what is held, whichever is more.
        std::uint64_t minProgress = 4096;
        std::uint64_t partOfHeld = 64;
    };

    /// Whose progress shows that a holding is of use: nobody's while it is complete and being served.
    enum class Progress {
        Expected,
        NotExpected,
    };

    struct Growth {
        bool granted = false;
        /// Holdings that are to be given up for it.
        std::vector<Id> yielding;
    };

    explicit GrowingRoom(Options options);

    /// Asks for more room for a holding, which may need up to `most` bytes in all. One that is not granted waits, and asks again once room
    /// was released or some time has passed; older ones come first.
    Growth grow(Id id, std::uint64_t bytes, std::uint64_t most, Instant now);

    /// Records bytes that the client has sent or taken.
    void recordProgress(Id id, std::uint64_t bytes, Instant now);

    /// The holding grows no more, or its progress is expected from now on, or not.
    void setComplete(Id id);
    void setProgress(Id id, Progress progress, Instant now);

    /// The holding does not wait for room any more.
    void stopWaiting(Id id);

    /// Gives all of a holding back.
    void release(Id id);

    std::uint64_t used() const
    {
        return m_used;
    }

    std::uint64_t held(Id id) const;

    /// The oldest that waits.
    std::optional<Id> firstWaiting() const;

    /// A holding that makes no progress yields after this long.
    Duration stallTime() const
    {
        return m_options.stallTime;
    }

private:
    struct Holding {
        std::uint64_t held = 0;
        std::uint64_t most = 0;
        /// By age: when it first asked for room.
        std::uint64_t order = 0;
        bool growing = true;
        bool waiting = false;
        /// It was told to yield.
        bool yielding = false;
        Progress progress = Progress::Expected;
        /// When it last made progress, and the bytes since.
        Instant progressAt{};
        std::uint64_t progressBytes = 0;
    };

    /// What has to stay free beside the room that a holding asks for; none if an older one waits.
    std::optional<std::uint64_t> keptFree(const Holding &asking) const;
    bool isOnly(const Holding &asking) const;
    bool isStalled(const Holding &holding, Instant now) const;
    /// The holdings that yield for so many bytes, those without progress for longest first.
    std::vector<Id> chooseYielding(Id asking, std::uint64_t wanted, Instant now);

    Options m_options;
    std::map<Id, Holding> m_holdings;
    std::uint64_t m_used = 0;
    std::uint64_t m_nextOrder = 0;
};

}
