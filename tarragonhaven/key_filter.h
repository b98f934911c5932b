#pragma once

#include "tarragonhaven/message_head.h"

#include <optional>
#include <string>
#include <string_view>

namespace tarragonhaven {

// The prefix of every API key, by which keys are recognised in any text.
inline constexpr std::string_view keyPrefix = "thk_";
// The number of hexadecimal digits after the prefix.
inline constexpr std::size_t keyDigits = 48;

// An API key in clear text, as the caller presented it. It is never logged and never forwarded.
struct PresentedKey {
    std::string text;
};

// Returns the caller's key from the field "Authorization: SCHEME KEY" or "X-Api-Key: KEY", or nothing if the
// request has no key. Removes all fields of these two names from the head, and every other field whose name
// or value contains text that has the form of a key, whether or not the key is valid.
std::optional<PresentedKey> extractKey(RequestHead& head, std::string_view scheme = "Bearer");

// Returns whether `text` contains text that has the form of a key, plain or percent-encoded.
bool containsKey(std::string_view text);

} // namespace tarragonhaven
