#pragma once

#include "tarragonhaven/sidecar_flags.h"
#include "tarragonhaven/sidecar_node.h"
#include "tarragonhaven/stop_signals.h"

#include <cstdio>
#include <cstdlib>
#include <memory>

namespace tarragonhaven {

// The main function of a sidecar node. `makeStore` creates the store client from the settings and the
// io_context of the thread that uses it. Returns the exit code if the node cannot start. Otherwise ends the
// process with code 0 after a planned stop.
template <RecordStore Store, typename MakeStore>
int runSidecar(int argumentCount, char** arguments, const HeaderNames& headerNames, MakeStore makeStore)
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
    auto node = std::make_unique<SidecarNode<Store>>(*settings, headerNames,
        [&settings, &makeStore](boost::asio::io_context& io) { return makeStore(*settings, io); });
    const auto error = node->start();
    if (!error.empty()) {
        std::fprintf(stderr, "%s\n", error.c_str());
        return exitFailure;
    }
    awaitStopSignal(signals, [&node] { node->recordReload(rereadSidecarFlags()); });
    node->beginStop();
    awaitDrained([&node] { return node->drained(); });
    node.reset();
    // The whole log has been written at this point. Returning from main would wait until the logging
    // library's thread pool ends, and on a machine with little processor time the node's ports would stay in
    // use for seconds.
    std::fflush(stdout);
    std::_Exit(0);
}

} // namespace tarragonhaven
