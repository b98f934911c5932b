#pragma once

#include <cstddef>
#include <string_view>

namespace tarragonhaven {

// What an accepted connection is doing, in the order in which connections are closed to make room for others.
enum class ConnectionStage {
    // Nothing has arrived, or a part of the first head.
    New,
    // A request was completed, and the next one has not arrived or is still sending its head.
    Idle,
    // The peer sends a body or reads a response.
    Transferring,
    // A request runs. Such a connection is not closed to make room.
    Running,
};

inline constexpr std::size_t connectionStageCount = static_cast<std::size_t>(ConnectionStage::Running) + 1;

// Returns the name of a stage in logs and metrics, in lower case.
std::string_view toString(ConnectionStage stage);

} // namespace tarragonhaven
