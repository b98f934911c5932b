#pragma once

#include "tarragonhaven/declaration.h"

#include <string>
#include <vector>

namespace tarragonhaven {

// What going from `before` to `after` does, a sentence each, in operators' words. Empty when nothing changes.
std::vector<std::string> describeChange(const Declaration& before, const Declaration& after);

} // namespace tarragonhaven
