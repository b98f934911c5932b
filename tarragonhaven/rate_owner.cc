// In the bucket, a grant has two ids: its own for the immediate tokens, and the next one for the prefetched
// tokens, because they expire at different times. Prefetched tokens come only from the upper half of a
// bucket, so that the forecast of one entry node never takes tokens that a waiting request of another entry
// node needs.

#include "tarragonhaven/rate_owner.h"

#include <algorithm>

namespace tarragonhaven {

namespace {

    // The shortest delay that a refused requester is given; otherwise it would repeat its request at once.
    constexpr util::Duration minimumRetryDelay = std::chrono::milliseconds(1);
    // The delay given to requesters of a share without any rate.
    constexpr util::Duration zeroRateRetryDelay = std::chrono::seconds(10);

} // namespace

RateOwner::OwnedBucket& RateOwner::bucketOf(
    const std::string& organisation, const RateShare& share, const OwnershipTerm& term, util::Time now)
{
    const auto previousTokensLifetime = m_lifetimes.prefetched + 2 * m_lifetimes.margin;
    const auto makeBucket = [&] {
        return OwnedBucket { term.number, TokenBucket(share, term.since + previousTokensLifetime, now) };
    };
    const auto found = m_buckets.find(organisation);
    if (found == m_buckets.end())
        return m_buckets.emplace(organisation, makeBucket()).first->second;
    if (found->second.termNumber != term.number)
        found->second = makeBucket();
    found->second.bucket.setShare(share, now);
    return found->second;
}

TokenGrant RateOwner::grant(
    const TokenRequest& request, const RateShare& share, const OwnershipTerm& term, util::Time now)
{
    TokenGrant grant;
    grant.requestId = request.requestId;
    grant.owner = true;
    m_lastGrantId += 2;
    grant.grantId = m_lastGrantId;
    auto& bucket = bucketOf(request.organisation, share, term, now).bucket;
    const auto immediateUntil = now + m_lifetimes.immediate + m_lifetimes.margin;
    const auto prefetchedUntil = now + m_lifetimes.prefetched + m_lifetimes.margin;
    grant.immediate = bucket.take(request.waiting, now, immediateUntil, grant.grantId);
    const int available = static_cast<int>(bucket.tokens()) - share.burst / 2;
    if (grant.immediate == request.waiting && available > 0)
        grant.prefetched
            = bucket.take(std::min(request.prefetch, available), now, prefetchedUntil, grant.grantId + 1);
    if (grant.immediate < request.waiting) {
        const auto delay = share.ratePerSecond > 0 ? bucket.untilNextToken(now) : zeroRateRetryDelay;
        grant.nextTokenUs
            = std::chrono::duration_cast<std::chrono::microseconds>(std::max(delay, minimumRetryDelay))
                  .count();
    }
    return grant;
}

void RateOwner::settleReturn(const TokenReturn& tokenReturn, util::Time now)
{
    const auto found = m_buckets.find(tokenReturn.organisation);
    if (found != m_buckets.end())
        found->second.bucket.settleGrant(tokenReturn.grantId + 1, tokenReturn.returned, now);
}

void RateOwner::removeIdle(util::Time now)
{
    absl::erase_if(m_buckets, [now](auto& item) { return item.second.bucket.isRemovable(now); });
}

} // namespace tarragonhaven
