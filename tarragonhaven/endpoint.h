#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace tarragonhaven {

// An IP address and a port, such as "127.0.0.1:9000" or "[::1]:9000". Host names are not supported.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
    friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

// Parses an endpoint. Returns nothing if `text` is not an IP address followed by a port from 1 to 65535.
std::optional<Endpoint> parseEndpoint(const std::string& text);

// Returns whether the address names one host: it is neither unspecified nor a multicast or broadcast address.
bool isUnicast(const Endpoint& endpoint);

// Formats an endpoint in the form that parseEndpoint() accepts.
std::string toString(const Endpoint& endpoint);

} // namespace tarragonhaven
