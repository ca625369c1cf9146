#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace bamboohold {

/// The endpoint that ADDRESS:PORT names, with a numeric address and a port other than 0; none when it does not.
std::optional<boost::asio::ip::tcp::endpoint> endpointFrom(std::string_view text);

}
