#pragma once

#include "tarragonhaven/declaration.h"
#include "util/error.h"

#include <string>
#include <vector>

namespace tarragonhaven {

// Parses declarations from JSON: the file that operators edit, and the values that are generated from it and
// published. On failure, each function returns all faults, each with its path in the document.

// The version of the document format that these functions read. Documents of other versions are refused.
inline constexpr int schemaVersion = 1;

// Parses and checks a complete declaration.
util::Checked<Declaration> parseDeclaration(const std::string& text);

// Parses the published index and checks the references between its entries.
util::Checked<FleetIndex> parseFleetIndex(const std::string& text);

// Parses one published shard of organisations and checks that names and key digests in it are unique.
util::Checked<std::vector<Organisation>> parseOrganisationShard(const std::string& text);

} // namespace tarragonhaven
