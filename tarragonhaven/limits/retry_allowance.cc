#include "tarragonhaven/limits/retry_allowance.h"

#include <algorithm>

namespace tarragonhaven {

namespace {

    // The time over which the rate of nested repeats is measured. Nodes report once a second.
    constexpr util::Duration rateInterval = std::chrono::milliseconds(1500);

} // namespace

double RetryAllowance::update(double requests, double nestedRepeats, double slack, util::Time now)
{
    m_updatedAt = now;
    m_requests.record(requests, now);
    m_nestedRepeats.record(nestedRepeats, now);
    const auto window = m_policy.retryWindow;
    const double most
        = std::max({ requests, m_requests.before(window / 2, now), m_requests.before(window, now) });
    return m_policy.retryShare * most + slack - expectedNestedRepeats(nestedRepeats, now);
}

void RetryAllowance::forget() { m_requests = SumHistory(m_policy.retryWindow); }

double RetryAllowance::expectedNestedRepeats(double nestedRepeats, util::Time now) const
{
    const double added = nestedRepeats - m_nestedRepeats.before(rateInterval, now);
    const double perWindow = added * (util::toSeconds(m_policy.retryWindow) / util::toSeconds(rateInterval));
    return std::max(0.0, perWindow - nestedRepeats);
}

} // namespace tarragonhaven
