#pragma once

#include "tarragonhaven/message_head.h"

#include <optional>
#include <string>
#include <string_view>

namespace tarragonhaven {

// The text that every key begins with, so that keys can be told from other texts wherever they stand.
inline constexpr std::string_view keyPrefix = "thk_";
// The number of hexadecimal digits that follow it.
inline constexpr std::size_t keyDigits = 48;

// A key as its holder presents it. Never logged and never sent on.
struct PresentedKey {
    std::string text;
};

// Takes the caller's key from "Authorization: SCHEME KEY" or "X-Api-Key: KEY", and removes every field that
// holds a text of the form of a key, whose ever it is. Returns nothing when no key was presented.
std::optional<PresentedKey> extractKey(RequestHead& head, std::string_view scheme = "Bearer");

// Whether the text holds something of the form of a key, percent-encoded or not.
bool containsKey(std::string_view text);

} // namespace tarragonhaven
