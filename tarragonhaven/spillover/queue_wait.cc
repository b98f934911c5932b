// The approximation of the wait with several servers by H. Sakasegawa, "An approximation formula Lq = a b^p /
// (1 - p)" (1977): hold x load^(sqrt(2 (slots + 1)) - 1) / (slots (1 - load)).

#include "tarragonhaven/spillover/queue_wait.h"

#include <algorithm>
#include <cmath>

namespace tarragonhaven {

namespace {

    constexpr double maximumWaitInHolds = 4;
    constexpr double lowestSustainableLoad = 0.5;
    constexpr double highestSustainableLoad = 0.95;
    constexpr int bisections = 12;

} // namespace

double expectedWait(double load, double slots, double holdSeconds)
{
    const double longest = maximumWaitInHolds * holdSeconds;
    if (slots < 1 || load >= 1)
        return longest;
    const double exponent = std::sqrt(2 * (slots + 1)) - 1;
    return std::min(longest, holdSeconds * std::pow(load, exponent) / (slots * (1 - load)));
}

double sustainableLoad(double slots, double holdSeconds, double waitSeconds)
{
    double low = lowestSustainableLoad;
    double high = highestSustainableLoad;
    for (int i = 0; i < bisections; ++i) {
        const double middle = (low + high) / 2;
        (expectedWait(middle, slots, holdSeconds) <= waitSeconds ? low : high) = middle;
    }
    return low;
}

} // namespace tarragonhaven
