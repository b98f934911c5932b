#pragma once

#include "tarragonhaven/rate_share.h"
#include "util/time.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace tarragonhaven {

// How long granted tokens may be used. All times count from the moment when the requester sent its request,
// on the requester's clock. The owner counts from the arrival of the request, which is later.
struct TokenLifetimes {
    util::Duration immediate = std::chrono::milliseconds(100);
    util::Duration prefetched = std::chrono::milliseconds(500);
    // Added by the owner to allow for clocks that run at different rates.
    util::Duration margin = std::chrono::milliseconds(20);
};

// The owner's token bucket for one organisation's share in one data centre. It counts the tokens that it
// holds and the granted tokens that may still be used; together they never exceed the burst. Over any window
// of length w, at most burst + rate * w tokens are therefore used, whatever happens to granted tokens.
class TokenBucket {
public:
    // Creates a bucket that has been filling from empty at the share's rate since `start`, which may be in
    // the future.
    TokenBucket(RateShare share, util::Time start, util::Time now);

    // Applies a changed share. Tokens above the new burst are dropped.
    void setShare(RateShare share, util::Time now);
    // Takes up to `wanted` tokens for a token request that arrived now, and returns how many were taken. They
    // count as outstanding until `usableUntil`, unless settleGrant() ends the grant before.
    int take(int wanted, util::Time now, util::Time usableUntil, std::uint64_t grantId);
    // Ends a grant: `returned` of its tokens go back into the bucket, the others are used up.
    void settleGrant(std::uint64_t grantId, int returned, util::Time now);

    [[nodiscard]] double tokens() const { return m_tokens; }
    // Refills the bucket and returns the number of whole tokens that take() could take now.
    [[nodiscard]] int available(util::Time now);
    [[nodiscard]] int outstanding() const { return m_outstanding; }
    // Returns the time until the bucket holds a whole token, if no tokens are taken or returned before.
    [[nodiscard]] util::Duration untilNextToken(util::Time now);
    // Returns whether the bucket is full and nothing is outstanding. It can be removed then: a new bucket of
    // the same term of ownership has been filling since the same moment, and never holds more.
    [[nodiscard]] bool isRemovable(util::Time now);

private:
    struct OutstandingGrant {
        std::uint64_t grantId = 0;
        int count = 0;
        util::Time until {};
    };

    void refill(util::Time now);
    void expire(util::Time now);
    void checkBound() const;

    RateShare m_share;
    double m_tokens = 0;
    util::Time m_refilledAt {};
    std::vector<OutstandingGrant> m_outstandingGrants;
    int m_outstanding = 0;
};

} // namespace tarragonhaven
