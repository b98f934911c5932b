#pragma once

#include "tarragonhaven/declaration.h"

#include <map>
#include <string>

namespace tarragonhaven {

// The largest value that the platform holds, in bytes.
inline constexpr std::size_t maximumValueBytes = 1'000'000;

// The name under which the index is published.
inline constexpr const char* indexValueName = "index";

// Writes a declaration in the form that parseDeclaration() reads, with fields in a fixed order.
std::string writeDeclaration(const Declaration& declaration);

// The values to publish for a declaration, by name: the index, and shards of organisations. An organisation's
// shard depends on its name alone, so that a change of one rewrites one shard.
std::map<std::string, std::string> publishedValues(const Declaration& declaration);

} // namespace tarragonhaven
