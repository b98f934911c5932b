#pragma once

#include "util/error.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonhaven {

// Returns the bound of the memory that a node holds for its callers on a machine with this memory.
std::size_t memoryBound(std::size_t machineBytes);

// Returns the files that may limit the memory of a process, those of the inner control groups first.
// `controlGroups` is the content of /proc/self/cgroup.
std::vector<std::string> memoryLimitFiles(std::string_view controlGroups);

// Parses the content of such a file. Returns nothing if it sets no limit.
std::optional<std::size_t> parseMemoryLimit(std::string_view text);

// Checks the setting of the bound, 0 for the default, and adds a fault under the name of its flag.
std::size_t parseMemoryBound(double bytes, util::Faults& faults);

} // namespace tarragonhaven
