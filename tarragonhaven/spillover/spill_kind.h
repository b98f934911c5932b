#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

namespace tarragonhaven {

// The size of a request's body together with that of its expected response.
enum class BodySize {
    Small,
    Medium,
    Large,
};

// The requests that spill-over treats alike.
struct SpillKind {
    // The order in which kinds spill over: small bodies first, and among equal sizes the most urgent rank.
    BodySize size = BodySize::Small;
    int rank = 0;

    friend auto operator<=>(const SpillKind&, const SpillKind&) = default;
    friend bool operator==(const SpillKind&, const SpillKind&) = default;
};

// Returns the class of a number of bytes. A negative number stands for an unknown size, which counts as
// large.
constexpr BodySize bodySizeOf(std::int64_t bytes)
{
    constexpr std::int64_t smallBytes = 16 * 1024;
    constexpr std::int64_t mediumBytes = 256 * 1024;
    if (bytes < 0 || bytes > mediumBytes)
        return BodySize::Large;
    return bytes > smallBytes ? BodySize::Medium : BodySize::Small;
}

constexpr std::string_view toString(BodySize size)
{
    return size == BodySize::Small ? "small" : size == BodySize::Medium ? "medium" : "large";
}

} // namespace tarragonhaven
