#pragma once

#include "tarragonhaven/names.h"
#include "tarragonhaven/spillover/kind_demand.h"
#include "tarragonhaven/spillover/spill_kind.h"
#include "util/time.h"

#include <map>

namespace tarragonhaven {

// Measures the requests that one entry receives for one service, as moving averages over about a second.
// Memory is one small record for each kind that was seen lately.
class DemandMeter {
public:
    void recordRequest(SpillKind kind, double megabytes, util::Time now);
    // Records that a request was refused for lack of capacity.
    void recordRefused(util::Time now);
    // Records that a request was served in another data centre than the one where it was placed.
    void recordDiverted(const DataCentreName& placed, const DataCentreName& served, util::Time now);

    [[nodiscard]] std::map<SpillKind, KindDemand> demand(util::Time now) const;
    // Returns the share of requests that were refused. A few requests say little, so that it starts near 0.
    [[nodiscard]] double refusedShare(util::Time now) const;
    // Returns, for each data centre, the share of requests that were served there without having been placed
    // there, less the share that was placed there and served elsewhere.
    [[nodiscard]] std::map<DataCentreName, double> divertedShares(util::Time now) const;
    // Returns whether there was no request for so long that none counts any more.
    [[nodiscard]] bool idle(util::Time now) const;

private:
    struct Sum {
        double requests = 0;
        double megabytes = 0;
    };

    // Ages all sums to `now`.
    void advance(util::Time now);
    [[nodiscard]] double decaySince(util::Time now) const;
    // Returns the requests that count, and those assumed in addition.
    [[nodiscard]] double requests(util::Time now) const;

    std::map<SpillKind, Sum> m_sums;
    double m_refused = 0;
    std::map<DataCentreName, double> m_diverted;
    util::Time m_asOf {};
};

} // namespace tarragonhaven
