#pragma once

#include "tarragonhaven/sidecar_settings.h"
#include "util/error.h"

namespace tarragonhaven {

// Reads the flags of a sidecar node from the command line, the environment and the settings file that --boot
// names, in this order of precedence, and checks them. "--help" ends the process.
util::Checked<SidecarSettings> readSidecarFlags(int argumentCount, char** arguments);

// Reads the settings file once more, for a running node. Flags that the file does not set keep their values.
util::Checked<SidecarSettings> rereadSidecarFlags();

} // namespace tarragonhaven
