#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace tarragonhaven {

// An IP number and a port, as in "127.0.0.1:9000" or "[::1]:9000". Host names are not accepted.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
    friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

// Reads an endpoint. Returns nothing when `text` is not an IP number with a port from 1 to 65535.
std::optional<Endpoint> parseEndpoint(const std::string& text);

// Writes an endpoint in the form that parseEndpoint() reads.
std::string toString(const Endpoint& endpoint);

} // namespace tarragonhaven
