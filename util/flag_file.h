#pragma once

#include "util/error.h"

#include <string>

namespace util {

// Sets flags from a file that has one "--name=value" per line. Empty lines and lines that begin with "#" are
// ignored. Returns one fault for each invalid line, with the path "FILE:LINE", or one fault if the file
// cannot be read. The other lines are applied even if some are invalid.
Faults applyFlagFile(const std::string& path);

} // namespace util
