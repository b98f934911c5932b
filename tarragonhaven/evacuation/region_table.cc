#include "tarragonhaven/evacuation/region_table.h"

#include "util/json_reader.h"

#include <nlohmann/json.hpp>

namespace tarragonhaven {

RegionTable parseRegionTable(const std::string& text, const std::string& flag, util::Faults& faults)
{
    RegionTable table;
    if (text.empty() || text == "null")
        return table;
    const auto json = util::parseJsonObject(text);
    if (!json) {
        faults.push_back({ flag, "is not a JSON object of data centres and their regions" });
        return table;
    }
    for (const auto& [dataCentre, region] : json->items()) {
        if (region.is_string() && !region.get_ref<const std::string&>().empty())
            table[{ dataCentre }] = { region.get<std::string>() };
    }
    return table;
}

} // namespace tarragonhaven
