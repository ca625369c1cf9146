#include "gateway/callercodec.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>

namespace bamboohold {

namespace {

constexpr std::array s_hopByHopHeaders{
    std::string_view("connection"),
    std::string_view("keep-alive"),
    std::string_view("proxy-connection"),
    std::string_view("proxy-authenticate"),
    std::string_view("proxy-authorization"),
    std::string_view("te"),
    std::string_view("trailer"),
    std::string_view("transfer-encoding"),
    std::string_view("upgrade"),
    std::string_view("expect"),
    std::string_view("content-length"),
    std::string_view("host"),
};

}

std::vector<HttpHeader> endToEndHeaders(const http::fields &fields)
{
    std::vector<std::string> namedInConnection;
    for (const auto &field : fields) {
        if (field.name() != http::field::connection) {
            continue;
        }
        const std::string value = absl::AsciiStrToLower(std::string(field.value()));
        for (const auto item : absl::StrSplit(value, ',')) {
            namedInConnection.emplace_back(absl::StripAsciiWhitespace(item));
        }
    }
    std::vector<HttpHeader> headers;
    for (const auto &field : fields) {
        const std::string name = absl::AsciiStrToLower(std::string(field.name_string()));
        const bool hopByHop = std::ranges::find(s_hopByHopHeaders, name) != s_hopByHopHeaders.end();
        if (!hopByHop && std::ranges::find(namedInConnection, name) == namedInConnection.end()) {
            headers.push_back({.name = std::string(field.name_string()), .value = std::string(field.value())});
        }
    }
    return headers;
}

}
