// A grant has one id for its immediate and one for its spare tokens (id and id + 1), since they end at
// different times. Spare tokens are handed out only from the upper half of a bucket, so that an entry's
// forecast never takes what another entry's waiting request needs.

#include "tarragonhaven/rate_owner.h"

#include <algorithm>

namespace tarragonhaven {

namespace {

    // An asker that is refused is told to wait at least this long, or it would ask again at once.
    constexpr util::Duration shortestRetry = std::chrono::milliseconds(1);
    // When a share without any rate may be asked again.
    constexpr util::Duration emptyShareRetry = std::chrono::seconds(10);

} // namespace

RateOwner::Owned& RateOwner::bucketOf(
    const std::string& organisation, const RateShare& share, const OwnershipTerm& term, util::Time now)
{
    const auto holdOff = m_lifetimes.spare + 2 * m_lifetimes.margin;
    const auto fresh = [&] { return Owned { term.number, TokenBucket(share, term.since + holdOff, now) }; };
    const auto found = m_buckets.find(organisation);
    if (found == m_buckets.end())
        return m_buckets.emplace(organisation, fresh()).first->second;
    if (found->second.term != term.number)
        found->second = fresh();
    found->second.bucket.setShare(share, now);
    return found->second;
}

TokenGrant RateOwner::grant(
    const TokenRequest& ask, const RateShare& share, const OwnershipTerm& term, util::Time now)
{
    TokenGrant grant;
    grant.requestId = ask.requestId;
    grant.owner = true;
    m_lastGrant += 2;
    grant.grantId = m_lastGrant;
    auto& bucket = bucketOf(ask.organisation, share, term, now).bucket;
    const auto immediateUntil = now + m_lifetimes.immediate + m_lifetimes.margin;
    const auto spareUntil = now + m_lifetimes.spare + m_lifetimes.margin;
    grant.immediate = bucket.take(ask.waiting, now, immediateUntil, grant.grantId);
    const int available = static_cast<int>(bucket.tokens()) - share.burst / 2;
    if (grant.immediate == ask.waiting && available > 0)
        grant.prefetched = bucket.take(std::min(ask.prefetch, available), now, spareUntil, grant.grantId + 1);
    if (grant.immediate < ask.waiting) {
        const auto until = share.ratePerSecond > 0 ? bucket.untilNextToken(now) : emptyShareRetry;
        grant.nextTokenUs
            = std::chrono::duration_cast<std::chrono::microseconds>(std::max(until, shortestRetry)).count();
    }
    return grant;
}

void RateOwner::settle(const TokenReturn& settled, util::Time now)
{
    const auto found = m_buckets.find(settled.organisation);
    if (found != m_buckets.end())
        found->second.bucket.settle(settled.grantId + 1, settled.returned, now);
}

void RateOwner::forgetIdle(util::Time now)
{
    absl::erase_if(m_buckets, [now](auto& item) { return item.second.bucket.forgettable(now); });
}

} // namespace tarragonhaven
