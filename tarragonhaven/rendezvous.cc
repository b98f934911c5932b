// See D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase hit rates", 1998. The hash
// is SHA-256, because its value does not depend on the library that computes it. It is slow, so callers keep
// the results instead of computing them again for each request.

#include "tarragonhaven/rendezvous.h"

#include "util/sha256.h"
#include "util/text.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace tarragonhaven {

namespace {

    constexpr std::size_t weightDigits = 16;
    constexpr int hexadecimal = 16;

} // namespace

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    const auto digest
        = util::sha256Hex(absl::StrCat(key.size(), ":", util::toAbsl(key), util::toAbsl(candidate)));
    return std::stoull(digest.substr(0, weightDigits), nullptr, hexadecimal);
}

std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> candidates)
{
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    weighted.reserve(candidates.size());
    for (auto& candidate : candidates) {
        const auto weight = rendezvousWeight(key, candidate);
        weighted.emplace_back(weight, std::move(candidate));
    }
    std::sort(weighted.begin(), weighted.end(), std::greater<>());
    std::vector<std::string> ordered;
    ordered.reserve(weighted.size());
    for (auto& item : weighted)
        ordered.push_back(std::move(item.second));
    return ordered;
}

} // namespace tarragonhaven
