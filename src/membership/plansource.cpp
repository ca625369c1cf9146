#include "membership/plansource.h"

#include <utility>

namespace bamboohold {

void PlanSource::set(std::uint64_t version, std::string document)
{
    m_newest = std::make_shared<const Document>(Document{.version = version, .text = std::move(document)});
}

std::optional<PlanPiece> PlanSource::piece(const PlanFetchScheduler::PieceRequest &request, Instant now)
{
    std::erase_if(m_transfers, [this, now](const auto &entry) {
        return now - entry.second.lastRequestAt > m_options.transferTimeout;
    });
    const auto transfer = m_transfers.find(request.peer);
    const bool continuesTransfer = transfer != m_transfers.end() && transfer->second.document->version == request.version;
    const std::shared_ptr<const Document> document = continuesTransfer ? transfer->second.document : m_newest;
    if (!document || document->version <= request.newerThan) {
        return std::nullopt;
    }
    const bool sameVersion = document->version == request.version && request.offset <= document->text.size();
    const std::uint64_t offset = sameVersion ? request.offset : 0;
    const std::size_t byteLimit = request.maxBytes == 0 ? std::string::npos : request.maxBytes;
    PlanPiece piece{.version = document->version,
                    .bytes = document->text.substr(offset, byteLimit),
                    .offset = offset,
                    .totalBytes = document->text.size()};
    if (offset + piece.bytes.size() < document->text.size()) {
        m_transfers[request.peer] = {.document = document, .lastRequestAt = now};
    } else {
        m_transfers.erase(request.peer);
    }
    return piece;
}

}
