#include "tarragonhaven/endpoint.h"

#include <absl/strings/numbers.h>
#include <boost/asio/ip/address.hpp>

namespace tarragonhaven {

namespace {

    constexpr int maximumPort = 65535;

    std::string withoutBrackets(const std::string& host)
    {
        const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
        return bracketed ? host.substr(1, host.size() - 2) : host;
    }

} // namespace

std::optional<Endpoint> parseEndpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    int port = 0;
    if (!absl::SimpleAtoi(text.substr(colon + 1), &port) || port < 1 || port > maximumPort)
        return std::nullopt;
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(withoutBrackets(text.substr(0, colon)), error);
    if (error)
        return std::nullopt;
    return Endpoint { address.to_string(), static_cast<std::uint16_t>(port) };
}

bool isUnicast(const Endpoint& endpoint)
{
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(endpoint.address, error);
    const bool broadcast = address.is_v4() && address.to_v4() == boost::asio::ip::address_v4::broadcast();
    return !error && !address.is_unspecified() && !address.is_multicast() && !broadcast;
}

std::string toString(const Endpoint& endpoint)
{
    const bool isIpv6 = endpoint.address.find(':') != std::string::npos;
    const auto host = isIpv6 ? "[" + endpoint.address + "]" : endpoint.address;
    return host + ":" + std::to_string(endpoint.port);
}

} // namespace tarragonhaven
