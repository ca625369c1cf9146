#pragma once

#include "clock/instant.h"
#include "membership/planfetchscheduler.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace bamboohold {

/// The configuration documents that this router sends to peers in pieces.
///
/// A peer that has received part of a document continues with that version even if newer ones come into force: if changes follow each other
/// faster than a document crosses the peer's link, it would otherwise start over forever. A document that is not in force and that no peer
/// requests any more is released.
///
/// Free of side effects: all events and the current time are passed in.
class PlanSource
{
public:
    struct Options {
        /// A peer that has requested nothing for this long has received the document from elsewhere or is gone. Must be longer than the
        /// timeout for a piece.
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

    /// Sets the document in force at this router.
    void set(std::uint64_t version, std::string document);

    /// Size of the document in force in bytes.
    std::size_t documentBytes() const
    {
        return m_newest ? m_newest->text.size() : 0;
    }

    /// The requested piece: of the document that the peer has received in part, otherwise the beginning of the newest one. None if the peer
    /// already has that version. A `maxBytes` of 0 requests the whole document.
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
    /// Transfers in progress by peer. Documents are shared because several peers may be receiving the same one.
    std::map<std::string, Transfer> m_transfers;
};

}
