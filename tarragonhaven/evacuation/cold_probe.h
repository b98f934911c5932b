#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/http_get.h"
#include "util/time.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

namespace tarragonhaven {

// Returns how long a target remains cold as its health response states in the field of the given name, or
// nothing if the response is not a success or the field is not a valid number of milliseconds.
std::optional<util::Duration> coldRemainingOf(const GetResult& response, const std::string& fieldName);

// Asks a target at its health path how long it remains cold. The handler is called once, with the answer or
// nothing.
void probeCold(boost::asio::io_context& io, const Endpoint& target, const std::string& healthPath,
    const std::string& fieldName, std::function<void(std::optional<util::Duration>)> handler);

} // namespace tarragonhaven
