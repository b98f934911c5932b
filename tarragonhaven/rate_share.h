#pragma once

#include "tarragonhaven/names.h"
#include "tarragonhaven/organisation.h"

#include <compare>
#include <vector>

namespace tarragonhaven {

// The part of an organisation's rate and burst that the owner in one data centre grants.
struct RateShare {
    double ratePerSecond = 0;
    int burst = 0;

    friend auto operator<=>(const RateShare&, const RateShare&) = default;
    friend bool operator==(const RateShare&, const RateShare&) = default;
};

// Returns the share of the data centre with index `dataCentre` of `dataCentreCount`. The shares of all data
// centres add up to the whole. The burst is dealt out in whole tokens, beginning at a data centre that
// depends on the organisation. The rate is divided in proportion to the burst, so a data centre without a
// whole token of burst has no rate either.
RateShare shareOf(const Organisation& organisation, std::size_t dataCentre, std::size_t dataCentreCount);

} // namespace tarragonhaven
