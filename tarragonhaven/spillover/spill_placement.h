#pragma once

#include "tarragonhaven/names.h"

#include <optional>
#include <set>

namespace tarragonhaven {

// Where a request is placed. Empty without a plan.
struct SpillPlacement {
    // The data centre of the first attempt.
    std::optional<DataCentreName> first;
    // Data centres that all attempts but the first avoid: they lack capacity, or the bytes are too dear.
    std::set<DataCentreName> avoided;
};

} // namespace tarragonhaven
