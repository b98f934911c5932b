#pragma once

#include <cstddef>
#include <string_view>

namespace tarragonhaven {

// Why the connection of a caller was closed.
enum class CloseReason {
    // The caller closed the connection, or its sending direction.
    Disconnected,
    // The last response announced the close.
    Announced,
    // The node ended the connection without an announcement, because it stops.
    Stopped,
    IdleTimeout,
    HeadTimeout,
    // The caller sent a body too slowly, of which a target may have received a part.
    BodyTimeout,
    // The body of a request is malformed or exceeds its limit.
    BodyRejected,
    // The caller sent too much of the body of a refused request.
    DiscardLimit,
    // The response was not accepted by the connection in time.
    WriteFailed,
    // A response that had begun could not be completed.
    ResponseTruncated,
    // The connection made no progress, and another was accepted instead.
    ClosedForRoom,
    // The memory that is held for callers was near its bound.
    ClosedForMemory,
};

inline constexpr std::size_t closeReasonCount = static_cast<std::size_t>(CloseReason::ClosedForMemory) + 1;

// Returns the name of a reason in log lines, in lower case with hyphens.
std::string_view toString(CloseReason reason);

} // namespace tarragonhaven
