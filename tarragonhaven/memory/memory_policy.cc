#include "tarragonhaven/memory/memory_policy.h"

#include <algorithm>
#include <tuple>

namespace tarragonhaven {

namespace {

    // What an idle connection takes, and one whose request has a small head.
    constexpr std::size_t minimumHeldBytes = 16 * 1024;
    // Longer than a round trip between continents with a lost packet.
    constexpr util::Duration minimumStall = std::chrono::seconds(1);

    bool mayClose(const ConnectionUse& use, MemoryPressure pressure)
    {
        if (use.heldBytes <= minimumHeldBytes)
            return false;
        return pressure >= MemoryPressure::Close
            || (use.stage != ConnectionStage::Running && use.stalled >= minimumStall);
    }

    // The connections with the greatest values are closed first.
    std::tuple<bool, double, std::size_t> precedence(const ConnectionUse& use)
    {
        return { use.stage != ConnectionStage::Running,
            static_cast<double>(use.heldBytes) * (1 + util::toSeconds(use.stalled)), use.organisationBytes };
    }

} // namespace

bool refusesRequest(MemoryPressure pressure, bool hasBody)
{
    return pressure >= MemoryPressure::Close || (pressure >= MemoryPressure::Refuse && hasBody);
}

std::vector<std::size_t> connectionsToClose(
    const std::vector<ConnectionUse>& uses, MemoryPressure pressure, std::size_t bytesToFree)
{
    std::vector<std::size_t> order;
    if (pressure < MemoryPressure::Refuse)
        return order;
    for (std::size_t i = 0; i < uses.size(); ++i) {
        if (mayClose(uses[i], pressure))
            order.push_back(i);
    }
    std::sort(order.begin(), order.end(),
        [&uses](auto left, auto right) { return precedence(uses[left]) > precedence(uses[right]); });
    std::size_t count = 0;
    for (std::size_t freed = 0; count < order.size() && freed < bytesToFree; ++count)
        freed += uses[order[count]].heldBytes;
    order.resize(count);
    return order;
}

std::string_view toString(MemoryPressure pressure)
{
    switch (pressure) {
    case MemoryPressure::None:
        return "none";
    case MemoryPressure::Backpressure:
        return "backpressure";
    case MemoryPressure::Refuse:
        return "refuse";
    case MemoryPressure::Close:
        return "close";
    }
    return "unknown";
}

} // namespace tarragonhaven
