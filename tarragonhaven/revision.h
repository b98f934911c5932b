#pragma once

#include <cstdint>

namespace tarragonhaven {

// The number that the platform gave to a published index. Larger is newer; 0 stands for none.
using Revision = std::uint64_t;

} // namespace tarragonhaven
