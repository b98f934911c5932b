#pragma once

#include <absl/strings/string_view.h>
#include <string_view>

namespace util {

// Debian builds Abseil with its own string view type. These functions convert between it and the standard
// one.
inline absl::string_view toAbsl(std::string_view text) { return { text.data(), text.size() }; }

inline std::string_view toStd(absl::string_view text) { return { text.data(), text.size() }; }

} // namespace util
