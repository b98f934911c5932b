#pragma once

#include "tarragonhaven/declaration.h"
#include "util/error.h"

#include <string>
#include <vector>

namespace tarragonhaven {

// The version of the document format that these functions read. Other versions are refused.
inline constexpr int schemaVersion = 1;

// Parses and checks a whole declaration. Returns every fault, each with its path.
util::Checked<Declaration> parseDeclaration(const std::string& text);

// Parses the published index. References between its parts are checked.
util::Checked<FleetIndex> parseFleetIndex(const std::string& text);

// Parses one published shard of organisations.
util::Checked<std::vector<Organisation>> parseOrganisationShard(const std::string& text);

} // namespace tarragonhaven
