#pragma once

#include "tarragonhaven/control_message.h"
#include "tarragonhaven/ownership_tracker.h"
#include "tarragonhaven/rate_share.h"
#include "tarragonhaven/token_bucket.h"

#include <absl/container/flat_hash_map.h>
#include <string>

namespace tarragonhaven {

// The buckets of the organisations whose shares this node owns. A bucket lives for one term of ownership; a
// new term starts with an empty bucket, and after a wait in which the tokens of the term before run out.
class RateOwner {
public:
    explicit RateOwner(TokenLifetimes lifetimes = {})
        : m_lifetimes(lifetimes)
    {
    }

    // Answers an ask that arrived now, under a term of ownership that holds now.
    TokenGrant grant(
        const TokenRequest& ask, const RateShare& share, const OwnershipTerm& term, util::Time now);
    void settle(const TokenReturn& settled, util::Time now);
    // Forgets buckets that hold nothing worth keeping. Call it every second or so.
    void forgetIdle(util::Time now);

    [[nodiscard]] std::size_t size() const { return m_buckets.size(); }

private:
    struct Owned {
        std::uint64_t term = 0;
        TokenBucket bucket;
    };

    Owned& bucketOf(
        const std::string& organisation, const RateShare& share, const OwnershipTerm& term, util::Time now);

    TokenLifetimes m_lifetimes;
    absl::flat_hash_map<std::string, Owned> m_buckets;
    std::uint64_t m_lastGrant = 0;
};

} // namespace tarragonhaven
