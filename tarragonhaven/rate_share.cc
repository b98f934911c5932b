#include "tarragonhaven/rate_share.h"

#include "tarragonhaven/member_set.h"

namespace tarragonhaven {

RateShare shareOf(const Organisation& organisation, std::size_t dataCentre, std::size_t dataCentreCount)
{
    const auto count = static_cast<int>(dataCentreCount);
    const int first = ownershipShardOf(organisation.name) % count;
    const int position = (static_cast<int>(dataCentre) - first + count) % count;
    const int evenBurst = organisation.burst / count;
    const int burst = evenBurst + (position < organisation.burst % count ? 1 : 0);
    return { organisation.ratePerSecond * burst / organisation.burst, burst };
}

} // namespace tarragonhaven
