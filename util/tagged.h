#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace util {

// A string whose type states what kind of thing it names, so that passing the name of an organisation where
// the name of a target is expected does not compile.
template <typename Tag> struct Tagged {
    std::string text;

    friend auto operator<=>(const Tagged&, const Tagged&) = default;
    friend bool operator==(const Tagged&, const Tagged&) = default;

    template <typename H> friend H AbslHashValue(H state, const Tagged& value)
    {
        return H::combine(std::move(state), value.text);
    }
};

} // namespace util

template <typename Tag> struct std::hash<util::Tagged<Tag>> {
    std::size_t operator()(const util::Tagged<Tag>& value) const noexcept
    {
        return std::hash<std::string>()(value.text);
    }
};
