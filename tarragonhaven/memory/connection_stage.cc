#include "tarragonhaven/memory/connection_stage.h"

namespace tarragonhaven {

std::string_view toString(ConnectionStage stage)
{
    switch (stage) {
    case ConnectionStage::New:
        return "new";
    case ConnectionStage::Idle:
        return "idle";
    case ConnectionStage::Transferring:
        return "transferring";
    case ConnectionStage::Running:
        return "running";
    }
    return "unknown";
}

} // namespace tarragonhaven
