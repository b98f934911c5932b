#pragma once

#include "tarragonhaven/names.h"
#include "util/error.h"

#include <map>
#include <string>

namespace tarragonhaven {

// The region of each data centre. A data centre that is not listed has no known region.
using RegionTable = std::map<DataCentreName, RegionName>;

// Parses a JSON object whose members are data centres with the names of their regions. An empty text, and
// null, are an empty table. Adds a fault with the path `flag` for any other text. A data centre whose region
// is no text is left out, so its region is unknown.
RegionTable parseRegionTable(const std::string& text, const std::string& flag, util::Faults& faults);

} // namespace tarragonhaven
