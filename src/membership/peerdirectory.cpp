#include "membership/peerdirectory.h"

#include "budget/budgetrows.h"

#include <algorithm>

namespace bamboohold {

PeerDirectory::PeerDirectory(Options options)
    : m_options(std::move(options))
{
}

std::string PeerDirectory::state(const Entry &entry)
{
    return textField(entry.row.fields, "state");
}

void PeerDirectory::updateRows(std::span<const TableRow> rows, Instant now)
{
    std::map<std::string, Entry, std::less<>> entries;
    for (const TableRow &row : rows) {
        const std::string incarnation = row.key.substr(s_nodePrefix.size());
        const auto known = m_entries.find(incarnation);
        Entry entry{.row = row, .rowChangedAt = now};
        if (known != m_entries.end()) {
            entry.lastMessageAt = known->second.lastMessageAt;
            entry.rowChangedAt = known->second.row.version == row.version ? known->second.rowChangedAt : now;
        }
        if (state(entry) != "closed") {
            entries.emplace(incarnation, std::move(entry));
        }
    }
    m_entries = std::move(entries);
}

void PeerDirectory::recordMessage(std::string_view peer, Instant now)
{
    if (const auto found = m_entries.find(peer); found != m_entries.end()) {
        found->second.lastMessageAt = now;
    }
}

std::vector<PeerDirectory::Peer> PeerDirectory::peers() const
{
    std::vector<Peer> peers;
    for (const auto &[incarnation, entry] : m_entries) {
        if (incarnation != m_options.self && state(entry) == "live") {
            peers.push_back({.incarnation = incarnation, .address = textField(entry.row.fields, "address")});
        }
    }
    return peers;
}

std::size_t PeerDirectory::liveRouterCount() const
{
    return peers().size() + 1;
}

std::vector<std::string> PeerDirectory::recentPeers(Instant now) const
{
    std::vector<std::string> recentPeers;
    for (const auto &[incarnation, entry] : m_entries) {
        if (incarnation != m_options.self && entry.lastMessageAt && now - *entry.lastMessageAt <= m_options.recentPeerWindow) {
            recentPeers.push_back(incarnation);
        }
    }
    return recentPeers;
}

Duration PeerDirectory::suspicionDelay() const
{
    const auto before = std::count_if(m_entries.begin(), m_entries.end(), [this](const auto &entry) {
        return entry.first < m_options.self && state(entry.second) == "live";
    });
    return m_options.suspicionTimeout + m_options.suspicionStagger * before;
}

std::vector<TableRow> PeerDirectory::suspects(Instant now) const
{
    std::vector<TableRow> suspects;
    const Duration limit = suspicionDelay();
    for (const auto &[incarnation, entry] : m_entries) {
        const bool rowUnchanged = now - entry.rowChangedAt >= limit;
        const bool silent = !entry.lastMessageAt || now - *entry.lastMessageAt >= limit;
        if (incarnation != m_options.self && rowUnchanged && silent) {
            suspects.push_back(entry.row);
        }
    }
    return suspects;
}

}
