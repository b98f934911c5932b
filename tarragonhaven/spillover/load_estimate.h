#pragma once

#include "tarragonhaven/service_health.h"
#include "tarragonhaven/spillover/data_centre_load.h"
#include "tarragonhaven/spillover/demand_meter.h"

#include <map>
#include <set>
#include <vector>

namespace tarragonhaven {

// Estimates the load of one service in each data centre from what one entry knows of its targets: the reports
// that came with responses and refusals. Targets with a report of the last 3 s stand for all usable targets
// of their data centre. A data centre of which fewer than three usable targets, and fewer than all, have such
// a report yields no load.
//
// The demand of the own data centre follows from the requests at its targets: they are those that its entries
// did not send elsewhere, if all entries send the same share. While its slots are all in use, the requests
// there no longer show the demand, so that the highest recent estimate counts as well.
class LoadEstimate {
public:
    // What the estimate is made from, besides the views.
    struct Context {
        DataCentreName own;
        // Targets that did not respond to this node a moment ago. They have no usable slots, and the targets
        // that are not known may have none in the same proportion.
        std::set<TargetName> unreachable;
        // The share of requests of the own data centre that run elsewhere.
        double sentShare = 0;
    };

    std::vector<DataCentreLoad> estimate(const std::vector<TargetView>& views, const Context& context,
        const DemandMeter& demand, util::Time now);

private:
    struct Sample;

    void recordUnreachable(
        const std::vector<TargetView>& views, const std::set<TargetName>& unreachable, util::Time now);
    void addDemand(DataCentreLoad& load, double sentShare, const DemandMeter& demand, util::Time now);

    // The demand of the own data centre in slots while it had free ones, and when that was.
    double m_demandSlots = 0;
    util::Time m_demandAsOf {};
    double m_meanHoldSeconds = 0;
    // When targets were last seen as unreachable. They count as such until a newer report, although requests
    // try them again before that.
    std::map<TargetName, util::Time> m_unreachableAt;
};

} // namespace tarragonhaven
