#pragma once

#include "util/error.h"

#include <string>

namespace util {

// Sets flags from a file with one "--name=value" a line. Empty lines and lines that begin with "#" are passed
// over. Faults are named by line.
Faults applyFlagFile(const std::string& path);

} // namespace util
