#pragma once

#include "tarragonhaven/declaration.h"

#include <map>
#include <string>

namespace tarragonhaven {

// Writes declarations as JSON: the file for version control, and the values that the platform distributes to
// nodes.

// Maximum size of a value on the platform, in bytes.
inline constexpr std::size_t maximumValueBytes = 1'000'000;

// Name of the value that holds the published index.
inline constexpr const char* indexValueName = "index";

// Returns the declaration as JSON that parseDeclaration() reads. The order of fields is fixed.
std::string writeDeclaration(const Declaration& declaration);

// Returns the values to publish for a declaration, by name: the index and the shards of organisations. While
// the number of shards stays the same, the shard of an organisation depends only on the organisation's name,
// so that a change of one organisation rewrites one shard. Fails a check if a shard is larger than
// maximumValueBytes.
std::map<std::string, std::string> publishedValues(const Declaration& declaration);

} // namespace tarragonhaven
