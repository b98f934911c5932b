#include "tarragonhaven/pipelining/close_reason.h"

namespace tarragonhaven {

std::string_view toString(CloseReason reason)
{
    switch (reason) {
    case CloseReason::Disconnected:
        return "disconnected";
    case CloseReason::Announced:
        return "announced";
    case CloseReason::Stopped:
        return "stopped";
    case CloseReason::IdleTimeout:
        return "idle-timeout";
    case CloseReason::HeadTimeout:
        return "head-timeout";
    case CloseReason::BodyTimeout:
        return "body-timeout";
    case CloseReason::BodyRejected:
        return "body-rejected";
    case CloseReason::DiscardLimit:
        return "discard-limit";
    case CloseReason::WriteFailed:
        return "write-failed";
    case CloseReason::ResponseTruncated:
        return "response-truncated";
    case CloseReason::ClosedForRoom:
        return "closed-for-room";
    case CloseReason::ClosedForMemory:
        return "closed-for-memory";
    }
    return "unknown";
}

} // namespace tarragonhaven
