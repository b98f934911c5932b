#pragma once

#include "tarragonhaven/message_head.h"
#include "tarragonhaven/refusal.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstdint>
#include <optional>

namespace tarragonhaven {

// The head of a caller's request as it was read from the connection.
struct ReceivedHead {
    RequestHead head;
    // Whether the caller keeps the connection open for further requests.
    bool keepAlive = true;
    // Whether the caller sends the body only after "100 Continue".
    bool expectsContinue = false;
    // Set if no request could be read, or if a target might interpret the framing of the message differently.
    // Such a request is refused, and the connection is closed.
    std::optional<Refusal> refusal;
};

using ReceivedMessage = boost::beast::http::header<true, boost::beast::http::fields>;

// Converts a head that was parsed completely. `contentLength` is the announced length of the body, or -1.
ReceivedHead toReceivedHead(
    const ReceivedMessage& message, bool keepAlive, bool hasBody, std::int64_t contentLength);

// Returns the head without hop-by-hop fields.
RequestHead toRequestHead(const ReceivedMessage& message, bool hasBody, std::int64_t contentLength);

} // namespace tarragonhaven
