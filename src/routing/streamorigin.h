#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// Where a stream began: the service, and the version of the software of the target that wrote its first event.
struct StreamOrigin {
    std::string service;
    /// Empty when it is not known.
    std::string version;

    bool operator==(const StreamOrigin &) const = default;
};

/// The key under which the origin of a stream is kept: a hash of the team and of the id of the caller's request that began it, so that no
/// team finds the streams of another one.
std::uint64_t streamKey(std::string_view team, std::string_view requestId);

/// Assigns streams to the processes that keep their origins, by rendezvous hashing. Routers with almost the same list of processes assign
/// almost the same ones.
class StreamKeepers
{
public:
    /// Sets the processes, by their addresses.
    void setProcesses(std::span<const std::string> addresses);

    /// The first `most` processes in the order of the stream.
    std::vector<std::string> keepersOf(std::uint64_t key, std::size_t most) const;

    bool empty() const
    {
        return m_processes.empty();
    }

private:
    struct Process {
        std::uint64_t hash = 0;
        std::string address;
    };

    std::vector<Process> m_processes;
};

}
