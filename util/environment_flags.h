#pragma once

#include "util/error.h"

#include <string>
#include <string_view>
#include <vector>

namespace util {

// Returns the name of a flag's environment variable: the program's prefix, "_" and the name of the flag, in
// upper case.
std::string environmentName(std::string_view prefix, std::string_view flag);

// Sets each flag from its environment variable, if that is set. Call this before the command line is parsed,
// so that the command line overrides the environment. Returns a fault for each value that the flag cannot
// parse. Aborts the process if a name in `flags` is not a flag.
Faults applyEnvironment(std::string_view prefix, const std::vector<std::string>& flags);

} // namespace util
