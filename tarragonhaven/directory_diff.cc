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
    const auto earlier = startsOf(before);
    const auto current = startsOf(after);
    auto starts = earlier;
    for (const auto& [start, target] : current)
        starts[start] = target;
    const auto serves = [](const std::map<Start, const Target*>& listed, const Start& start) {
        const auto found = listed.find(start);
        return found != listed.end() && !found->second->leaving;
    };
    std::vector<TargetStateChange> changes;
    for (const auto& [start, target] : starts) {
        const bool serving = serves(current, start);
        if (serving == serves(earlier, start))
            continue;
        const auto* guard = after.instance(target->instance);
        if (!guard)
            guard = before.instance(target->instance);
        changes.push_back({ *target, serving, guard->peerAddress });
    }
    return changes;
}

} // namespace tarragonhaven
