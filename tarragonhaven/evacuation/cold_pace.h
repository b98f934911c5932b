#pragma once

#include "tarragonhaven/token_bucket.h"
#include "util/time.h"

#include <compare>
#include <cstddef>

namespace tarragonhaven {

// In any one second a cold target may get the requests per second that it tolerates, times `overshoot`, plus
// `slack` requests.
struct ColdPaceBound {
    double overshoot = 1.5;
    double slack = 8;

    friend auto operator<=>(const ColdPaceBound&, const ColdPaceBound&) = default;
    friend bool operator==(const ColdPaceBound&, const ColdPaceBound&) = default;
};

// Returns the share of a token bucket whose requests stay within the bound although some of them reach their
// target up to `ColdPace::sendDelay` after others. Its rate is not above the tolerated one.
RateShare coldShare(double requestsPerSecond, const ColdPaceBound& bound);

// Paces the requests that a guard sends to a cold target.
class ColdPace {
public:
    // The time from the grant of a slot to the sending of the request for which the pace allows.
    static constexpr util::Duration sendDelay = std::chrono::milliseconds(250);

    // The bucket starts without tokens if the target may have got requests within the last second.
    ColdPace(double requestsPerSecond, const ColdPaceBound& bound, bool mayHaveRequests, util::Time now);

    void setRate(double requestsPerSecond, const ColdPaceBound& bound, util::Time now);
    // Takes one token. There must be one.
    void take(util::Time now);
    // Returns the requests per second that are sent.
    [[nodiscard]] double ratePerSecond() const { return m_share.ratePerSecond; }
    // Returns the number of requests that may be sent now.
    [[nodiscard]] std::size_t available(util::Time now);
    // Returns the time until `count` requests may have been sent from now on.
    [[nodiscard]] util::Duration timeUntil(std::size_t count, util::Time now);

private:
    RateShare m_share;
    TokenBucket m_bucket;
};

} // namespace tarragonhaven
