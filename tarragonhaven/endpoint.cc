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

std::string toString(const Endpoint& endpoint)
{
    const bool isIpv6 = endpoint.address.find(':') != std::string::npos;
    const auto host = isIpv6 ? "[" + endpoint.address + "]" : endpoint.address;
    return host + ":" + std::to_string(endpoint.port);
}

} // namespace tarragonhaven
