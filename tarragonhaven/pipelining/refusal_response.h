#pragma once

#include "tarragonhaven/header_names.h"
#include "tarragonhaven/refusal.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>

namespace tarragonhaven {

// What the response to a refused request depends on, beside the refusal.
struct RefusalResponseContext {
    std::string requestId;
    // A new idempotency key for the caller. Empty if none is offered.
    std::string nextIdempotencyKey;
    // Whether the request was a HEAD request, whose response has no body.
    bool headOnly = false;
    bool keepAlive = true;
};

// Returns the response that states a refusal, in its header fields and as JSON in its body.
boost::beast::http::response<boost::beast::http::string_body> toResponse(
    const Refusal& refusal, const RefusalResponseContext& context, const HeaderNames& headerNames);

} // namespace tarragonhaven
