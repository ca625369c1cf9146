#include "net/endpoint.h"

#include <absl/strings/numbers.h>

#include <cstdint>
#include <string>

namespace bamboohold {

std::optional<boost::asio::ip::tcp::endpoint> endpointFrom(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::uint32_t port = 0;
    const bool portValid = absl::SimpleAtoi(std::string(text.substr(colon + 1)), &port) && port > 0 && port <= UINT16_MAX;
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
    if (error || !portValid) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(address, static_cast<std::uint16_t>(port));
}

}
