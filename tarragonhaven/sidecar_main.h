#pragma once

#include "tarragonhaven/sidecar_flags.h"
#include "tarragonhaven/sidecar_node.h"
#include "tarragonhaven/stop_signals.h"

#include <cstdio>
#include <cstdlib>

namespace tarragonhaven {

// The main program of a sidecar node. `makeStore` makes the store from the settings and the io_context of the
// thread that reads it. Returns the exit code.
template <RecordStore Store, typename MakeStore>
int runSidecar(int argumentCount, char** arguments, const HttpDialect& dialect, MakeStore makeStore)
{
    constexpr int exitUsage = 2;
    constexpr int exitFailure = 1;
    const auto settings = readSidecarFlags(argumentCount, arguments);
    if (!settings) {
        for (const auto& fault : settings.error())
            std::fprintf(stderr, "%s: %s\n", fault.path.c_str(), fault.reason.c_str());
        return exitUsage;
    }
    const auto signals = blockNodeSignals();
    SidecarNode<Store> node(*settings, dialect,
        [&settings, &makeStore](boost::asio::io_context& io) { return makeStore(*settings, io); });
    const auto fault = node.start();
    if (!fault.empty()) {
        std::fprintf(stderr, "%s\n", fault.c_str());
        return exitFailure;
    }
    awaitStopSignal(signals, [&node] { node.noteReload(rereadSidecarFlags()); });
    node.beginStop();
    if (!awaitDrained(signals, [&node] { return node.drained(); }))
        std::_Exit(0);
    return 0;
}

} // namespace tarragonhaven
