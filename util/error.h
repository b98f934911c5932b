#pragma once

#include <compare>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace util {

// One fault in a document or setting: where it is and what is wrong with it.
struct Fault {
    std::string path;
    std::string reason;

    friend auto operator<=>(const Fault&, const Fault&) = default;
    friend bool operator==(const Fault&, const Fault&) = default;
};

using Faults = std::vector<Fault>;

// A value, or every fault that was found on the way to it.
template <typename T> using Checked = tl::expected<T, Faults>;

} // namespace util
