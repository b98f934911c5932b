// A token that is taken is used at once, so none is ever outstanding in the bucket.

#include "tarragonhaven/request_pacer.h"

#include "util/check.h"

#include <algorithm>
#include <cmath>

namespace tarragonhaven {

namespace {

    // The burst is what the limit allows in this time, in seconds.
    constexpr double burstSeconds = 1;

    RateShare shareFor(double requestsPerSecond)
    {
        // Bounds the conversion to an integer; no target serves as many requests.
        constexpr double maximumRate = 1e6;
        const double rate = std::clamp(requestsPerSecond, RequestPacer::minimumRate, maximumRate);
        return { rate, std::max(1, static_cast<int>(rate * burstSeconds)) };
    }

} // namespace

RequestPacer::RequestPacer(double requestsPerSecond, util::Time now)
    : m_limit(requestsPerSecond)
    , m_bucket(shareFor(requestsPerSecond), now, now)
{
}

void RequestPacer::setLimit(double requestsPerSecond, util::Time now)
{
    m_limit = requestsPerSecond;
    m_bucket.setShare(shareFor(requestsPerSecond), now);
}

void RequestPacer::take(util::Time now)
{
    const int taken = m_bucket.take(1, now, now, 0);
    TARRAGONHAVEN_CHECK(taken == 1, "a request is sent to a limited target only with a token");
}

std::size_t RequestPacer::available(util::Time now)
{
    return static_cast<std::size_t>(std::max(0, m_bucket.available(now)));
}

util::Duration RequestPacer::timeUntil(std::size_t count, util::Time now)
{
    if (count <= available(now))
        return {};
    const double missing = static_cast<double>(count) - m_bucket.tokens();
    return util::fromSeconds(missing / shareFor(m_limit).ratePerSecond);
}

} // namespace tarragonhaven
