#include "tarragonhaven/memory/memory_bound.h"

#include "tarragonhaven/settings_checks.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <sstream>

namespace tarragonhaven {

namespace {

    constexpr std::size_t megabyte = 1024 * 1024;
    // The part of a machine for what is held for callers. The rest is for the node's own tables, for requests
    // at targets, for what the allocator cannot reuse, and for the system.
    constexpr double machineShare = 0.4;
    // That of a machine with 160 MB, the smallest that a node is made for.
    constexpr std::size_t minimumBound = 64 * megabyte;
    // More is of no use: bodies are limited to less, and the connections of a port to some thousands.
    constexpr std::size_t maximumBound = 1024 * megabyte;
    constexpr double minimumSetting = 1024 * 1024;
    constexpr double maximumSetting = 1e12;
    // Version 1 of control groups states this number or more if there is no limit.
    constexpr std::uint64_t noLimit = 1ULL << 60U;

} // namespace

std::size_t memoryBound(std::size_t machineBytes)
{
    const auto bytes = static_cast<std::size_t>(static_cast<double>(machineBytes) * machineShare);
    return std::clamp(bytes, minimumBound, maximumBound);
}

std::vector<std::string> memoryLimitFiles(std::string_view controlGroups)
{
    std::vector<std::string> files;
    std::istringstream lines { std::string(controlGroups) };
    for (std::string line; std::getline(lines, line);) {
        // A line has the form "NUMBER:CONTROLLERS:GROUP", without controllers in version 2.
        const auto controllers = line.find(':');
        const auto path = controllers == std::string::npos ? controllers : line.find(':', controllers + 1);
        if (path == std::string::npos)
            continue;
        const auto names = line.substr(controllers + 1, path - controllers - 1);
        if (!names.empty() && names != "memory")
            continue;
        const std::string root = names.empty() ? "/sys/fs/cgroup" : "/sys/fs/cgroup/memory";
        const std::string file = names.empty() ? "/memory.max" : "/memory.limit_in_bytes";
        auto group = line.substr(path + 1);
        if (group.empty() || group.front() != '/')
            continue;
        while (!group.empty() && group.back() == '/')
            group.pop_back();
        for (; !group.empty(); group.resize(group.find_last_of('/')))
            files.push_back(root + group + file);
        files.push_back(root + file);
    }
    return files;
}

std::optional<std::size_t> parseMemoryLimit(std::string_view text)
{
    std::uint64_t bytes = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), bytes);
    const bool complete = end == text.data() + text.size() || *end == '\n';
    if (error != std::errc() || !complete || bytes >= noLimit)
        return std::nullopt;
    return bytes;
}

std::size_t parseMemoryBound(double bytes, util::Faults& faults)
{
    if (bytes == 0)
        return 0;
    const auto faultsBefore = faults.size();
    requireRange(bytes, minimumSetting, maximumSetting, "memory_bound_bytes", faults);
    return faults.size() == faultsBefore ? static_cast<std::size_t>(bytes) : 0;
}

} // namespace tarragonhaven
