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
struct PlatformResponse {
    int status = 0;
    // The value of the Revision field, or 0.
    Revision revision = 0;
    std::string body;
};

// How long a read may take as a whole and to connect, and how long the server may be silent without an
// acknowledgement, which ends a read that waits on a connection that has gone dead.
struct GetTimeouts {
    util::Duration total {};
    util::Duration connect = std::chrono::seconds(1);
    util::Duration peerTimeout = std::chrono::seconds(3);
};

using PlatformResponseHandler = std::function<void(std::optional<PlatformResponse>)>;

// Reads `target` from an HTTP server, on a connection of its own. The handler gets nothing when there is no
// whole answer in time.
void httpGet(boost::asio::io_context& io, const Endpoint& server, const std::string& target,
    GetTimeouts timeouts, PlatformResponseHandler handler);

} // namespace tarragonhaven
