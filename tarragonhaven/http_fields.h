#pragma once

#include "tarragonhaven/message_head.h"

#include <string_view>
#include <vector>

namespace tarragonhaven {

// Whether a field belongs to one connection and is not passed on (RFC 9110, section 7.6.1), or frames the
// body and is written anew by each hop. `connectionValue` is the value of the message's Connection field.
bool isHopByHop(std::string_view name, std::string_view connectionValue);

// Whether two field names are the same, without case.
bool sameFieldName(std::string_view left, std::string_view right);

// The value of the first field with this name, or an empty text.
std::string_view fieldValue(const std::vector<HeaderField>& fields, std::string_view name);

} // namespace tarragonhaven
