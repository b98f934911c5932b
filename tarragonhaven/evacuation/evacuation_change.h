#pragma once

#include "tarragonhaven/names.h"
#include "tarragonhaven/revision.h"

#include <compare>

namespace tarragonhaven {

// A request, read from the store, that the targets of a data centre get no further requests, or the
// withdrawal of one.
struct EvacuationChange {
    DataCentreName dataCentre;
    bool evacuated = true;
    // The revision in the store of the request or its withdrawal.
    Revision revision = 0;

    friend auto operator<=>(const EvacuationChange&, const EvacuationChange&) = default;
    friend bool operator==(const EvacuationChange&, const EvacuationChange&) = default;
};

} // namespace tarragonhaven
