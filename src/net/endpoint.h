#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace bamboohold {

/// Parses ADDRESS:PORT with a numeric address and a port other than 0. Returns an empty optional for anything else.
std::optional<boost::asio::ip::tcp::endpoint> endpointFrom(std::string_view text);

}
