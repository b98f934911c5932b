// Over any window of w seconds a bucket of rate r and burst b admits r * w + b requests. Requests that are
// admitted within 1 s and the send delay before may arrive within one second, so r * (1 + sendDelay) + b has
// to stay within the bound.

#include "tarragonhaven/evacuation/cold_pace.h"

#include "util/check.h"

#include <algorithm>

namespace tarragonhaven {

namespace {

    // Bounds of the rate, in requests per second. With none, the target would never be used again; no target
    // serves more than the upper one.
    constexpr double minimumRate = 0.25;
    constexpr double maximumRate = 1e6;
    // The burst as a share of the slack and of the rate. A larger one serves bursts a little sooner, but
    // leaves less for requests that are delayed on their way.
    constexpr double burstShareOfSlack = 0.5;
    constexpr double burstShareOfRate = 0.25;

} // namespace

RateShare coldShare(double requestsPerSecond, const ColdPaceBound& bound)
{
    const double tolerated = std::clamp(requestsPerSecond, minimumRate, maximumRate);
    const double allowed = tolerated * bound.overshoot + bound.slack;
    const int burst = std::max(
        1, static_cast<int>(std::min(bound.slack * burstShareOfSlack, tolerated * burstShareOfRate)));
    const double spread = 1 + util::toSeconds(ColdPace::sendDelay);
    return { std::clamp((allowed - burst) / spread, minimumRate, tolerated), burst };
}

ColdPace::ColdPace(double requestsPerSecond, const ColdPaceBound& bound, bool mayHaveRequests, util::Time now)
    : m_share(coldShare(requestsPerSecond, bound))
    , m_bucket(m_share,
          mayHaveRequests ? now : now - util::fromSeconds(m_share.burst / m_share.ratePerSecond), now)
{
}

void ColdPace::setRate(double requestsPerSecond, const ColdPaceBound& bound, util::Time now)
{
    m_share = coldShare(requestsPerSecond, bound);
    m_bucket.setShare(m_share, now);
}

void ColdPace::take(util::Time now)
{
    const int taken = m_bucket.take(1, now, now, 0);
    TARRAGONHAVEN_CHECK(taken == 1, "a request is sent to a cold target only with a token");
}

std::size_t ColdPace::available(util::Time now)
{
    return static_cast<std::size_t>(std::max(0, m_bucket.available(now)));
}

util::Duration ColdPace::timeUntil(std::size_t count, util::Time now)
{
    if (count <= available(now))
        return {};
    return util::fromSeconds((static_cast<double>(count) - m_bucket.tokens()) / m_share.ratePerSecond);
}

} // namespace tarragonhaven
