#pragma once

#include "tarragonhaven/declaration.h"

#include <string>
#include <vector>

namespace tarragonhaven {

// Describes the effects of changing a fleet's declaration from `before` to `after` for operators, one
// sentence per effect. Returns an empty list if the declarations are equal. Takes O(n log n) time for n
// entries.
std::vector<std::string> describeChange(const Declaration& before, const Declaration& after);

} // namespace tarragonhaven
