#pragma once

#include <compare>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace util {

// A fault in a document or setting: the path of the faulty value and the reason why it is invalid.
struct Fault {
    std::string path;
    std::string reason;

    friend auto operator<=>(const Fault&, const Fault&) = default;
    friend bool operator==(const Fault&, const Fault&) = default;
};

using Faults = std::vector<Fault>;

// A value, or all faults that were found while it was parsed or checked.
template <typename T> using Checked = tl::expected<T, Faults>;

} // namespace util
