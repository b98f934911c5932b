#pragma once

#include "util/error.h"

#include <string>
#include <string_view>
#include <vector>

namespace util {

// The environment variable of a flag: the program's prefix and the flag's name in upper case.
std::string environmentName(std::string_view prefix, std::string_view flag);

// Sets each flag from its environment variable, where there is one. Call it before the command line is
// parsed, so that the command line wins. Returns a fault for each value that the flag's type refuses.
Faults applyEnvironment(std::string_view prefix, const std::vector<std::string>& flags);

} // namespace util
