#pragma once

#include "tarragonhaven/header_names.h"
#include "tarragonhaven/message_head.h"

#include <compare>
#include <string>

namespace tarragonhaven {

// Validates the head of a target's response before it is forwarded to a caller. The checks need the header
// fields that HeaderNames configures; a field without a name turns off the checks that need it.

// Result of checking the head of a response.
enum class ResponseVerdict {
    // The target's own response to the request.
    Valid,
    // The target reports that it did not run the request.
    NotRun,
    // The response belongs to another request.
    Mismatched,
    // The response must not be shown to the caller; the request may have run.
    Invalid,
};

struct ResponseCheck {
    ResponseVerdict verdict = ResponseVerdict::Valid;
    std::string detail;
    // Whether the expected target wrote the response, so that what it announces about itself applies.
    bool fromTarget = true;

    friend auto operator<=>(const ResponseCheck&, const ResponseCheck&) = default;
    friend bool operator==(const ResponseCheck&, const ResponseCheck&) = default;
};

// Whether an earlier response on the connection may precede the response to a request.
enum class ConnectionUse {
    // The response is the first one on its connection.
    First,
    Reused,
};

// Checks the head of the response to the request with the id `requestId`. Checks that need a header field
// without a configured name are skipped. `detail` says why a response is not valid.
ResponseCheck checkResponse(const ResponseHead& head, const std::string& requestId,
    const HeaderNames& headerNames, ConnectionUse use);

} // namespace tarragonhaven
