#pragma once

#include "tarragonhaven/header_names.h"
#include "tarragonhaven/message_head.h"

#include <compare>
#include <optional>

namespace tarragonhaven {

// What a target announces about itself in the head of a response. An announcement holds until a later
// response of the same start of the target replaces it.
struct TargetNotice {
    // The number of requests per second that the target accepts from all nodes together. Not set if it names
    // no limit.
    std::optional<double> requestsPerSecond;
    // The target named a limit that is not a non-negative decimal number. `requestsPerSecond` is not set.
    bool malformedLimit = false;
    // The target is about to stop and must get no new requests.
    bool leaving = false;

    friend auto operator<=>(const TargetNotice&, const TargetNotice&) = default;
    friend bool operator==(const TargetNotice&, const TargetNotice&) = default;
};

// Parses the header fields that HeaderNames configures for notices. Fields without a configured name are
// ignored.
TargetNotice parseTargetNotice(const ResponseHead& head, const HeaderNames& headerNames);

} // namespace tarragonhaven
