#pragma once

#include "tarragonhaven/token_bucket.h"
#include "util/time.h"

#include <cstddef>

namespace tarragonhaven {

// Paces the requests that a guard sends to a target which has named a limit. Over any window of w seconds, at
// most limit * w requests are sent, plus one second's worth of the limit, and at least one. A limit below
// `minimumRate` counts as `minimumRate`: without any request the target could not name another limit.
//
// A pacer starts without tokens, because the requests that were sent before the limit was known, perhaps by a
// guard that has restarted since, may have used them up.
class RequestPacer {
public:
    // In requests per second.
    static constexpr double minimumRate = 0.25;

    RequestPacer(double requestsPerSecond, util::Time now);

    // Applies a changed limit. Tokens above one second's worth of the new limit are dropped.
    void setLimit(double requestsPerSecond, util::Time now);
    // Takes one token. There must be one.
    void take(util::Time now);

    // Returns the limit as the target named it, in requests per second.
    [[nodiscard]] double limit() const { return m_limit; }
    // Returns the number of requests that may be sent now.
    [[nodiscard]] std::size_t available(util::Time now);
    // Returns the time until `count` requests may have been sent from now on.
    [[nodiscard]] util::Duration timeUntil(std::size_t count, util::Time now);

private:
    double m_limit;
    TokenBucket m_bucket;
};

} // namespace tarragonhaven
