#pragma once

#include "util/error.h"
#include "util/time.h"

#include <compare>

namespace tarragonhaven {

// Limits on how slowly a caller may send the body of a request or read a response.
struct ProgressLimits {
    // The rate of a body in the long run. Callers on slow mobile networks send some kilobytes a second.
    double bodyBytesPerSecond = 200;
    // How long a body may be late against that rate, at its begin and after any pause.
    util::Duration bodyGrace = std::chrono::seconds(20);
    // How long a part of a response, of at most 16 kB, may wait to be read.
    util::Duration responseTimeout = std::chrono::seconds(30);

    friend auto operator<=>(const ProgressLimits&, const ProgressLimits&) = default;
    friend bool operator==(const ProgressLimits&, const ProgressLimits&) = default;
};

// The limits that an operator may set, as read from flags.
struct RawProgressLimits {
    double bodyBytesPerSecond = 200;
    double bodyGraceSeconds = 20;
    double responseTimeoutSeconds = 30;
};

// Checks the limits and adds each fault under the name of its flag.
ProgressLimits parseProgressLimits(const RawProgressLimits& raw, util::Faults& faults);

} // namespace tarragonhaven
