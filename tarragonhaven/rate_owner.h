#pragma once

#include "tarragonhaven/control_message.h"
#include "tarragonhaven/ownership_tracker.h"
#include "tarragonhaven/rate_share.h"
#include "tarragonhaven/token_bucket.h"

#include <absl/container/flat_hash_map.h>
#include <string>

namespace tarragonhaven {

// The token buckets of the organisations whose shares this node owns. A bucket lives for one term of
// ownership. A new term starts with an empty bucket, which begins to fill only when the tokens of the
// previous term have expired.
class RateOwner {
public:
    explicit RateOwner(TokenLifetimes lifetimes = {})
        : m_lifetimes(lifetimes)
    {
    }

    // Answers a token request that arrived now, under a term of ownership that is valid now.
    TokenGrant grant(
        const TokenRequest& request, const RateShare& share, const OwnershipTerm& term, util::Time now);
    // Settles the prefetched tokens of a grant. Ignored if this node has no bucket of the organisation.
    void settleReturn(const TokenReturn& tokenReturn, util::Time now);
    // Removes buckets that TokenBucket::isRemovable allows to remove. Call this about once a second.
    void removeIdle(util::Time now);

    [[nodiscard]] std::size_t size() const { return m_buckets.size(); }

private:
    struct OwnedBucket {
        std::uint64_t termNumber = 0;
        TokenBucket bucket;
    };

    OwnedBucket& bucketOf(
        const std::string& organisation, const RateShare& share, const OwnershipTerm& term, util::Time now);

    TokenLifetimes m_lifetimes;
    absl::flat_hash_map<std::string, OwnedBucket> m_buckets;
    std::uint64_t m_lastGrantId = 0;
};

} // namespace tarragonhaven
