#pragma once

#include "tarragonhaven/message_head.h"
#include "util/time.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstdint>
#include <optional>

namespace tarragonhaven {

// How a target framed the body of a response.
struct ResponseFraming {
    bool chunked = false;
    // The length that the target declared, in bytes.
    std::optional<std::uint64_t> contentLength;
    // Whether the request was a HEAD request, whose response has no body.
    bool toHeadRequest = false;
};

// Returns the head that is passed on for the parsed head of a target's response.
ResponseHead toResponseHead(
    const boost::beast::http::response_header<boost::beast::http::fields>& parsed, ResponseFraming framing);

// Returns how long the target keeps an idle connection, from the field "Keep-Alive: timeout=SECONDS", or
// nothing if the field does not say so.
std::optional<util::Duration> keepAliveTime(
    const boost::beast::http::response_header<boost::beast::http::fields>& parsed);

} // namespace tarragonhaven
