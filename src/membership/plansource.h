#pragma once

#include "clock/instant.h"
#include "membership/planfetchscheduler.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace bamboohold {

/// The configuration documents that this router gives to peers, piece by piece.
///
/// A peer that has begun one goes on with it while newer ones come into force: where changes follow each other faster than a document
/// crosses the peer's link, it would begin anew for ever. A document that nobody asks for any more is let go.
///
/// Pure: events and `now` in.
class PlanSource
{
public:
    struct Options {
        /// A peer that has asked for nothing for this long has got the document elsewhere, or is gone. Longer than a piece is waited for.
        Duration transferTimeout = std::chrono::seconds(5);
    };

    PlanSource()
        : PlanSource(Options{})
    {
    }

    explicit PlanSource(Options options)
        : m_options(options)
    {
    }

    /// The document in force here.
    void set(std::uint64_t version, std::string document);

    /// The size of the document in force.
    std::size_t documentBytes() const
    {
        return m_newest ? m_newest->text.size() : 0;
    }

    /// The piece that the peer asks for: of the document that it has begun, or else from the beginning of the newest. None when the peer
    /// has that version already. `mostBytes` 0 asks for the whole.
    std::optional<PlanPiece> piece(const PlanFetchScheduler::PieceRequest &request, Instant now);

private:
    struct Document {
        std::uint64_t version = 0;
        std::string text;
    };

    struct Transfer {
        std::shared_ptr<const Document> document;
        Instant lastRequestAt{};
    };

    Options m_options;
    std::shared_ptr<const Document> m_newest;
    /// By peer. Shared, because several peers may have begun the same one.
    std::map<std::string, Transfer> m_transfers;
};

}
