#pragma once

#include "tarragonhaven/message_head.h"

#include <string_view>
#include <vector>

namespace tarragonhaven {

// Returns whether a header field must not be forwarded: either it applies to one connection only (RFC 9110,
// section 7.6.1), or it frames the body and each hop writes its own. `connectionValue` is the value of the
// message's Connection field.
bool isHopByHop(std::string_view name, std::string_view connectionValue);

// Returns whether a text is a token (RFC 9110, section 5.6.2), as the name of a field must be.
bool isToken(std::string_view text);

// Returns whether two field names are equal, ignoring case.
bool sameFieldName(std::string_view left, std::string_view right);

// Returns the value of the first field with this name, or an empty text.
std::string_view fieldValue(const std::vector<HeaderField>& fields, std::string_view name);

} // namespace tarragonhaven
