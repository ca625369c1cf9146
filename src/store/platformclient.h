#pragma once

#include "net/httpclient.h"
#include "store/table.h"

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// Calls the platform's table, object store and host list over HTTP. Bound to one event loop: a caller on another loop has to spawn its
/// call on this one.
class PlatformClient
{
public:
    /// Sends a call to the platform through a peer.
    using Relay = std::function<asio::awaitable<absl::StatusOr<HttpReply>>(const HttpCallOptions &)>;

    PlatformClient(asio::any_io_executor executor, asio::ip::tcp::endpoint endpoint, Duration timeout);

    /// Sets the relay that is used when the platform does not answer directly.
    void setRelay(Relay relay);

    /// Sends a transaction. When it fails with TableUnreachable and Executed::Unknown, the transaction may have taken effect.
    asio::awaitable<absl::StatusOr<TableTransactionResult>> transact(const TableTransaction &transaction);

    /// Reads the rows with these keys. A row that does not exist is returned with version 0.
    asio::awaitable<absl::StatusOr<std::vector<TableRow>>> read(const std::vector<std::string> &keys);

    /// Reads the row with this key. A row that does not exist is returned with version 0.
    asio::awaitable<absl::StatusOr<TableRow>> readOne(std::string key);

    /// Reads all rows whose key starts with the prefix.
    asio::awaitable<absl::StatusOr<std::vector<TableRow>>> scan(std::string_view prefix);

    /// Stores an object.
    asio::awaitable<absl::Status> putObject(std::string key, std::string content);

    /// Reads an object. Fails with NotFound when it was never stored.
    asio::awaitable<absl::StatusOr<std::string>> readObject(std::string key);

    /// Lists the hosts. The platform's list may lag behind the actual state.
    asio::awaitable<absl::StatusOr<std::vector<ListedHost>>> hosts();

    /// Sends one call directly to the platform and never through a relay. Used to carry a peer's call.
    asio::awaitable<absl::StatusOr<HttpReply>> callDirectly(HttpCallOptions options);

    /// Returns the number of calls sent directly to the platform so far, both reads and writes.
    std::uint64_t calls() const
    {
        return m_calls;
    }

private:
    asio::awaitable<absl::StatusOr<HttpReply>> call(HttpCallOptions options);

    HttpClient m_client;
    Duration m_timeout;
    Relay m_relay;
    /// Until this time the relay is tried first, because a direct call has failed recently.
    Instant m_relayFirstUntil{};
    std::uint64_t m_calls = 0;
};

}
