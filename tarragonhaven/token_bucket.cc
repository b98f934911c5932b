// Let b be the burst. At any moment, tokens + outstanding <= b. A token that is used within a window either
// existed at the start of the window, which holds for at most b tokens, or was added by a refill within the
// window. Refilling stops at b - outstanding, so a grant that expires or is settled makes room but adds no
// tokens of its own. The cost of an operation is linear in the outstanding grants, which live for a fraction
// of a second.

#include "tarragonhaven/token_bucket.h"

#include "util/check.h"

#include <algorithm>
#include <cmath>

namespace tarragonhaven {

namespace {

    // Tolerated rounding error in sums of fractions of tokens.
    constexpr double roundingTolerance = 1e-6;

} // namespace

TokenBucket::TokenBucket(RateShare share, util::Time start, util::Time now)
    : m_share(share)
    , m_refilledAt(now)
{
    const double passed = std::max(0.0, util::toSeconds(now - start));
    m_tokens = std::min<double>(share.burst, share.ratePerSecond * passed);
    if (now < start)
        m_refilledAt = start;
}

void TokenBucket::checkBound() const
{
    TARRAGONHAVEN_CHECK(m_tokens >= -roundingTolerance, "a token bucket grants only tokens that it holds");
    TARRAGONHAVEN_CHECK(m_outstanding == 0 || m_tokens + m_outstanding <= m_share.burst + roundingTolerance,
        "held and outstanding tokens do not exceed the burst");
}

void TokenBucket::expire(util::Time now)
{
    std::erase_if(m_outstandingGrants, [&](const OutstandingGrant& grant) {
        const bool expired = now >= grant.until;
        m_outstanding -= expired ? grant.count : 0;
        return expired;
    });
}

void TokenBucket::refill(util::Time now)
{
    expire(now);
    if (now <= m_refilledAt)
        return;
    const double added = util::toSeconds(now - m_refilledAt) * m_share.ratePerSecond;
    const double room = std::max(0.0, static_cast<double>(m_share.burst - m_outstanding));
    m_tokens = std::min(m_tokens + added, room);
    m_refilledAt = now;
}

void TokenBucket::setShare(RateShare share, util::Time now)
{
    if (share == m_share)
        return;
    refill(now);
    m_share = share;
    m_tokens = std::min(m_tokens, std::max(0.0, static_cast<double>(share.burst - m_outstanding)));
}

int TokenBucket::available(util::Time now)
{
    refill(now);
    return static_cast<int>(std::floor(m_tokens + roundingTolerance));
}

int TokenBucket::take(int wanted, util::Time now, util::Time usableUntil, std::uint64_t grantId)
{
    const int taken = std::min(wanted, available(now));
    if (taken <= 0)
        return 0;
    m_tokens -= taken;
    m_outstanding += taken;
    m_outstandingGrants.push_back({ grantId, taken, usableUntil });
    checkBound();
    return taken;
}

void TokenBucket::settleGrant(std::uint64_t grantId, int returned, util::Time now)
{
    refill(now);
    for (auto grant = m_outstandingGrants.begin(); grant != m_outstandingGrants.end(); ++grant) {
        if (grant->grantId != grantId)
            continue;
        m_outstanding -= grant->count;
        m_tokens += std::clamp(returned, 0, grant->count);
        m_outstandingGrants.erase(grant);
        checkBound();
        return;
    }
}

util::Duration TokenBucket::untilNextToken(util::Time now)
{
    refill(now);
    if (m_tokens >= 1 || m_share.ratePerSecond <= 0)
        return {};
    const auto delay = util::fromSeconds((1 - m_tokens) / m_share.ratePerSecond);
    return std::max<util::Duration>(
        delay + (m_refilledAt > now ? m_refilledAt - now : util::Duration {}), {});
}

bool TokenBucket::isRemovable(util::Time now)
{
    refill(now);
    return m_outstandingGrants.empty() && m_tokens >= m_share.burst - roundingTolerance;
}

} // namespace tarragonhaven
