// Let b be the burst. At any moment tokens + outstanding <= b. A token that is used within a window was
// either in being at the window's start, of which there are at most b, or was added by refilling within it.
// Refilling stops at b - outstanding, so an expired or settled grant makes room but adds no tokens of its
// own. Cost: the grants outstanding, which live for a fraction of a second.

#include "tarragonhaven/token_bucket.h"

#include "util/check.h"

#include <algorithm>
#include <cmath>

namespace tarragonhaven {

namespace {

    // What sums of fractions of tokens may be off by.
    constexpr double roundingTokens = 1e-6;

} // namespace

TokenBucket::TokenBucket(RateShare share, util::Time start, util::Time now)
    : m_share(share)
    , m_refilled(now)
{
    const double passed = std::max(0.0, util::toSeconds(now - start));
    m_tokens = std::min<double>(share.burst, share.ratePerSecond * passed);
    if (now < start)
        m_refilled = start;
}

void TokenBucket::checkBound() const
{
    TARRAGONHAVEN_CHECK(m_tokens >= -roundingTokens, "a bucket hands out no token that it does not hold");
    TARRAGONHAVEN_CHECK(m_outstanding == 0 || m_tokens + m_outstanding <= m_share.burst + roundingTokens,
        "tokens in being do not exceed the burst");
}

void TokenBucket::expire(util::Time now)
{
    std::erase_if(m_grants, [&](const Outstanding& grant) {
        const bool over = now >= grant.until;
        m_outstanding -= over ? grant.count : 0;
        return over;
    });
}

void TokenBucket::refill(util::Time now)
{
    expire(now);
    if (now <= m_refilled)
        return;
    const double added = util::toSeconds(now - m_refilled) * m_share.ratePerSecond;
    const double room = std::max(0.0, static_cast<double>(m_share.burst - m_outstanding));
    m_tokens = std::min(m_tokens + added, room);
    m_refilled = now;
}

void TokenBucket::setShare(RateShare share, util::Time now)
{
    if (share == m_share)
        return;
    refill(now);
    m_share = share;
    m_tokens = std::min(m_tokens, std::max(0.0, static_cast<double>(share.burst - m_outstanding)));
}

int TokenBucket::take(int wanted, util::Time now, util::Time usableUntil, std::uint64_t grantId)
{
    refill(now);
    const int taken = std::min(wanted, static_cast<int>(std::floor(m_tokens + roundingTokens)));
    if (taken <= 0)
        return 0;
    m_tokens -= taken;
    m_outstanding += taken;
    m_grants.push_back({ grantId, taken, usableUntil });
    checkBound();
    return taken;
}

void TokenBucket::settle(std::uint64_t grantId, int returned, util::Time now)
{
    refill(now);
    for (auto grant = m_grants.begin(); grant != m_grants.end(); ++grant) {
        if (grant->grantId != grantId)
            continue;
        m_outstanding -= grant->count;
        m_tokens += std::clamp(returned, 0, grant->count);
        m_grants.erase(grant);
        checkBound();
        return;
    }
}

util::Duration TokenBucket::untilNextToken(util::Time now)
{
    refill(now);
    if (m_tokens >= 1 || m_share.ratePerSecond <= 0)
        return {};
    const auto waiting = util::fromSeconds((1 - m_tokens) / m_share.ratePerSecond);
    return std::max<util::Duration>(waiting + (m_refilled > now ? m_refilled - now : util::Duration {}), {});
}

bool TokenBucket::forgettable(util::Time now)
{
    refill(now);
    return m_grants.empty() && m_tokens >= m_share.burst - roundingTokens;
}

} // namespace tarragonhaven
