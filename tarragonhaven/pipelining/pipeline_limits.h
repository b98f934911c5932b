#pragma once

#include "util/error.h"

#include <compare>
#include <cstddef>

namespace tarragonhaven {

// Limits on how far requests of callers are read ahead. A request beyond them waits in the connection for its
// turn, as if the caller had sent it later.
struct PipelineLimits {
    // Requests in progress on one connection, including the one whose response is written. Callers that send
    // ahead mostly keep up to eight requests in progress, and 16 heads of maximum size take 256 kB. 1
    // disables pipelining.
    std::size_t requests = 16;
    // Memory that is held for one connection: bodies of requests and responses, and heads that were read
    // ahead. A single request takes up to 2.2 MB, if a target has failed it with a response of maximum size.
    std::size_t heldBytes = 4 * 1024 * 1024;
    // Requests of all connections that were started ahead of their turn, and those of one organisation. A
    // node serves about 90 requests a second, so that ordinary callers have fewer in progress.
    std::size_t aheadRequests = 512;
    std::size_t aheadRequestsPerOrganisation = 128;
    // Memory of all connections for responses to requests that were started ahead of their turn: half of what
    // Entry allows for bodies.
    std::size_t aheadBytes = 12 * 1024 * 1024;

    friend auto operator<=>(const PipelineLimits&, const PipelineLimits&) = default;
    friend bool operator==(const PipelineLimits&, const PipelineLimits&) = default;
};

// The limits that an operator may set, as read from flags.
struct RawPipelineLimits {
    double requests = 16;
    double bytes = 4 * 1024 * 1024;
};

// Checks the limits and adds each fault under the name of its flag.
PipelineLimits parsePipelineLimits(const RawPipelineLimits& raw, util::Faults& faults);

} // namespace tarragonhaven
