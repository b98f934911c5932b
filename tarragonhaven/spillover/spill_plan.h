#pragma once

#include "tarragonhaven/spillover/data_centre_load.h"
#include "tarragonhaven/spillover/kind_demand.h"
#include "tarragonhaven/spillover/spill_kind.h"

#include <map>
#include <set>
#include <vector>

namespace tarragonhaven {

// What the plan of one service is made from.
struct SpillInput {
    DataCentreLoad own;
    // The other data centres of which the load is known.
    std::vector<DataCentreLoad> others;
    // Round trips in seconds, also inside the own data centre.
    std::map<DataCentreName, double> roundTrips;
    // The requests of this entry, which stand for those of its data centre.
    std::map<SpillKind, KindDemand> demand;
    // The shares of the requests of the own data centre that run in other ones at present, and are part of
    // the load there.
    std::map<DataCentreName, double> sentShares;
    double secondsPerMegabyte = 0;
};

// The shares of requests that go to other data centres.
struct SpillPlan {
    using Shares = std::map<DataCentreName, double>;

    // The shares of each kind. What is missing to 1 stays in the own data centre.
    std::map<SpillKind, Shares> shares;
    // The shares of all requests together.
    Shares totals;
    // The other data centres that lack capacity. Retries avoid them.
    std::set<DataCentreName> lacking;
    // Kinds that no wait in the own data centre makes worth the bytes; their retries stay as well.
    std::set<SpillKind> staying;
    // The demand of the own data centre and what it lacks, in slots, and the mean wait if nothing leaves.
    double demandSlots = 0;
    double lackingSlots = 0;
    double ownWaitSeconds = 0;
};

// Decides how much of each kind of request goes to each other data centre: as much as the own data centre
// cannot serve with a short wait, up to what the others can. Data centres that lack capacity as well get
// nothing, and those that share the free capacity of a third take equal parts of it.
//
// A kind leaves only if the wait that it saves exceeds the longer round trip and the price of its bytes;
// small bodies leave before large ones and urgent ranks before others. Old knowledge of a data centre lets
// less go there, and without knowledge nothing does.
SpillPlan planSpill(const SpillInput& input);

} // namespace tarragonhaven
