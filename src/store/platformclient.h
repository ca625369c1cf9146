#pragma once

#include "net/httpclient.h"
#include "store/table.h"

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// Calls the platform's table, object store and host list over HTTP. Bound to one event loop: whoever runs on another one spawns the call
/// there.
class PlatformClient
{
public:
    /// Another way to the platform: carries a call through a peer.
    using Relay = std::function<asio::awaitable<absl::StatusOr<HttpReply>>(const HttpCallOptions &)>;

    PlatformClient(asio::any_io_executor executor, asio::ip::tcp::endpoint endpoint, Duration timeout);

    /// Sets the way to take when the platform does not answer directly.
    void setRelay(Relay relay);

    /// Sends a transaction. TableUnreachable with Executed::Unknown: it may have taken effect.
    asio::awaitable<absl::StatusOr<TableTransactionResult>> transact(const TableTransaction &transaction);

    /// Reads rows; an absent one has version 0.
    asio::awaitable<absl::StatusOr<std::vector<TableRow>>> read(const std::vector<std::string> &keys);

    /// Reads one row.
    asio::awaitable<absl::StatusOr<TableRow>> readOne(std::string key);

    /// Reads all rows under a prefix.
    asio::awaitable<absl::StatusOr<std::vector<TableRow>>> scan(std::string_view prefix);

    /// Stores an object.
    asio::awaitable<absl::Status> putObject(std::string key, std::string content);

    /// Reads an object; NotFound when it was never stored.
    asio::awaitable<absl::StatusOr<std::string>> readObject(std::string key);

    /// Hosts as the lagging list shows them.
    asio::awaitable<absl::StatusOr<std::vector<ListedHost>>> hosts();

    /// One call as it stands, without a relay: what a peer carries for another.
    asio::awaitable<absl::StatusOr<HttpReply>> callDirectly(HttpCallOptions options);

    /// Calls that went out so far: reads and writes.
    std::uint64_t calls() const
    {
        return m_calls;
    }

private:
    asio::awaitable<absl::StatusOr<HttpReply>> call(HttpCallOptions options);

    HttpClient m_client;
    Duration m_timeout;
    Relay m_relay;
    /// While the direct way is known to fail, the relay is tried first and the direct way now and then.
    Instant m_relayFirstUntil{};
    std::uint64_t m_calls = 0;
};

}
