#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonhaven {

// Rendezvous hashing (highest random weight hashing) for distributing keys among candidates.

// Returns the weight of `candidate` for `key`, which is the same in every process and build.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

// Returns the candidates in descending order of their weight for `key`. If a candidate is removed, only the
// keys for which it was the first get another first candidate.
std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> candidates);

} // namespace tarragonhaven
