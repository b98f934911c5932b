#pragma once

#include <absl/strings/string_view.h>
#include <string_view>

namespace util {

// In Debian's build of Abseil, absl::string_view is a separate type. These functions convert between it and
// std::string_view.
inline absl::string_view toAbsl(std::string_view text) { return { text.data(), text.size() }; }

inline std::string_view toStd(absl::string_view text) { return { text.data(), text.size() }; }

} // namespace util
