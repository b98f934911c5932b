#pragma once

#include "tarragonhaven/names.h"
#include "tarragonhaven/organisation.h"

#include <compare>
#include <vector>

namespace tarragonhaven {

// The part of an organisation's rate and burst that one data centre's owner hands out.
struct RateShare {
    double ratePerSecond = 0;
    int burst = 0;

    friend auto operator<=>(const RateShare&, const RateShare&) = default;
    friend bool operator==(const RateShare&, const RateShare&) = default;
};

// The share of data centre `index` of `dataCentres`. Shares of all data centres add up to the whole: the
// burst is dealt out in whole tokens, beginning at a data centre that depends on the organisation, and the
// rate follows the burst, so that a data centre without a whole token of burst has no rate either.
RateShare shareOf(const Organisation& organisation, std::size_t dataCentre, std::size_t dataCentres);

} // namespace tarragonhaven
