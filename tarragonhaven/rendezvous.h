#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonhaven {

// The weight of `candidate` for `key`: the same in every process and build.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

// The candidates in falling order of weight for `key` (highest random weight hashing). When a candidate goes,
// only the keys that it headed move.
std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> candidates);

} // namespace tarragonhaven
