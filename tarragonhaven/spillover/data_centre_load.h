#pragma once

#include "tarragonhaven/names.h"
#include "util/time.h"

#include <map>

namespace tarragonhaven {

// The load of one service in one data centre, as one node knows it.
struct DataCentreLoad {
    DataCentreName dataCentre;
    // Slots of the targets that take work: not leaving, evacuated, ejected or held by a breaker; cold targets
    // count by their pace.
    int usableSlots = 0;
    int slotsInUse = 0;
    int waiting = 0;
    double meanHoldSeconds = 0;
    // Requests that entries of this data centre received, by rank, and those that were refused. Empty if not
    // known.
    std::map<int, double> arrivalsPerSecond;
    double refusedPerSecond = 0;
    util::Duration age {};

    // Requests at the targets.
    [[nodiscard]] int occupancy() const { return slotsInUse + waiting; }

    friend bool operator==(const DataCentreLoad&, const DataCentreLoad&) = default;
};

} // namespace tarragonhaven
