#pragma once

#include "tarragonhaven/http_dialect.h"
#include "tarragonhaven/message_head.h"

#include <compare>
#include <string>

namespace tarragonhaven {

// What the head of an answer says of itself.
enum class ResponseVerdict {
    // The target's own answer to the request.
    Valid,
    // The target says that it did not run the request.
    NotRun,
    // An answer to another request.
    Mismatched,
    // No answer that a caller may be shown; the request may have run.
    Invalid,
};

struct ResponseCheck {
    ResponseVerdict verdict = ResponseVerdict::Valid;
    std::string detail;

    friend auto operator<=>(const ResponseCheck&, const ResponseCheck&) = default;
    friend bool operator==(const ResponseCheck&, const ResponseCheck&) = default;
};

// Judges the head of an answer to the request with this id. A dialect without the field that a check needs
// leaves the check out.
ResponseCheck checkResponse(
    const ResponseHead& head, const std::string& requestId, const HttpDialect& headerNames);

} // namespace tarragonhaven
