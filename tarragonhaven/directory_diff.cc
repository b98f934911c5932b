#include "tarragonhaven/directory_diff.h"

#include <map>
#include <tuple>

namespace tarragonhaven {

namespace {

    using Start = std::tuple<TargetName, std::int64_t>;

    std::map<Start, const Target*> startsOf(const Directory& directory)
    {
        std::map<Start, const Target*> starts;
        for (const auto& [service, targets] : directory.targets()) {
            for (const auto& target : targets)
                starts.emplace(Start { target.name, target.startTimeMs }, &target);
        }
        return starts;
    }

} // namespace

std::vector<TargetStateChange> changedTargetStates(const Directory& before, const Directory& after)
{
    std::vector<TargetStateChange> changes;
    const auto current = startsOf(after);
    for (const auto& [start, target] : startsOf(before)) {
        const auto found = current.find(start);
        const bool serving = found != current.end() && !found->second->leaving;
        if (serving == target->leaving)
            changes.push_back({ found == current.end() ? *target : *found->second, serving });
    }
    return changes;
}

} // namespace tarragonhaven
