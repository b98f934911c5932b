#pragma once

#include "tarragonhaven/rate_share.h"
#include "util/time.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace tarragonhaven {

// How long tokens that were handed out may be used. All times count from the moment when the asker sent its
// ask, on the asker's clock; the owner counts them from the arrival of the ask, which is later.
struct TokenLifetimes {
    util::Duration immediate = std::chrono::milliseconds(100);
    util::Duration prefetched = std::chrono::milliseconds(500);
    // What the owner adds for clocks that run at different rates.
    util::Duration margin = std::chrono::milliseconds(20);
};

// The owner's bucket of one organisation's share in one data centre. It counts the tokens that it holds and
// those that it handed out and that may still be used; together they never exceed the burst. So over any
// window of length w at most burst + rate * w tokens are used, whatever becomes of those that were handed
// out.
class TokenBucket {
public:
    // A bucket that was filled from empty at the share's rate since `start`.
    TokenBucket(RateShare share, util::Time start, util::Time now);

    // Takes over a changed share.
    void setShare(RateShare share, util::Time now);
    // Takes up to `wanted` tokens, to be used by asks that arrived now.
    int take(int wanted, util::Time now, util::Time usableUntil, std::uint64_t grantId);
    // A grant's tokens are used up but for `returned`, which go back.
    void settleGrant(std::uint64_t grantId, int returned, util::Time now);

    [[nodiscard]] double tokens() const { return m_tokens; }
    [[nodiscard]] int outstanding() const { return m_outstanding; }
    // The time until there is a whole token, if nothing else happens.
    [[nodiscard]] util::Duration untilNextToken(util::Time now);
    // Whether the bucket is as a new one of the same term would be, so that it may be forgotten.
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
