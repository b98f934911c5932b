#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/revision.h"
#include "util/time.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

namespace tarragonhaven {

// An answer of the platform's read-and-watch service.
struct PlatformReply {
    int status = 0;
    // The value of the Revision field, or 0.
    Revision revision = 0;
    std::string body;
};

using PlatformHandler = std::function<void(std::optional<PlatformReply>)>;

// Reads `target` from an HTTP server, on a connection of its own. The handler gets nothing when there is no
// whole answer within `timeout`.
void httpGet(boost::asio::io_context& io, const Endpoint& server, const std::string& target,
    util::Duration timeout, PlatformHandler handler);

} // namespace tarragonhaven
