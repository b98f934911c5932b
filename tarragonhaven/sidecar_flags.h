#pragma once

#include "tarragonhaven/sidecar_settings.h"
#include "util/error.h"

namespace tarragonhaven {

// Reads and checks the flags of a sidecar node. The command line overrides the environment, which overrides
// the settings file named by --boot. Returns every fault that was found. "--help" prints the flags and ends
// the process.
util::Checked<SidecarSettings> readSidecarFlags(int argumentCount, char** arguments);

// Reads the settings file and the environment again while the node runs. Flags that neither of them sets keep
// their values.
util::Checked<SidecarSettings> rereadSidecarFlags();

} // namespace tarragonhaven
