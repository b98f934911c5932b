#pragma once

#include "tarragonhaven/discovery_watcher.h"
#include "tarragonhaven/header_names.h"
#include "tarragonhaven/log_writer.h"
#include "tarragonhaven/memory/descriptor_limit.h"
#include "tarragonhaven/memory/machine_memory.h"
#include "tarragonhaven/memory/node_connection_limits.h"
#include "tarragonhaven/node_state.h"
#include "tarragonhaven/operator_server.h"
#include "tarragonhaven/sidecar_settings.h"
#include "tarragonhaven/sidecar_traffic.h"

#include <random>
#include <string>
#include <utility>

namespace tarragonhaven {

// A node that runs beside one target and reads the fleet's declarations and targets from a store. It has four
// threads (traffic, discovery, operators and log) that communicate through bounded rings. It stores nothing
// on disk, so after a start it accepts requests only once it has read both declarations and targets.
//
//   SidecarNode<PlatformStore> node(settings, headerNames, makeStore);
//   const auto error = node.start();
//   ...
//   node.beginStop();
//   while (!node.drained())
//       wait();
template <RecordStore Store> class SidecarNode {
public:
    // `makeStore` creates the store client from the io_context of the discovery thread.
    template <typename MakeStore>
    SidecarNode(SidecarSettings settings, const HeaderNames& headerNames, MakeStore makeStore)
        : m_settings(std::move(settings))
        , m_logWriter(m_settings.label, m_settings.logLevel, m_settings.logBudget)
        , m_log(m_logWriter.channel())
        , m_connections(connectionLimits(m_settings.connections, descriptorLimit()))
        , m_discovery(std::move(makeStore), directoryOptions(m_settings), m_logWriter.channel())
        , m_traffic({ m_settings, makeHello(m_settings), m_state, m_logWriter.channel(), m_discovery.events(),
              m_discovery.counters(), headerNames, m_connections,
              memoryBoundFor(m_settings.memoryBoundBytes) })
        , m_operators(m_state, m_logWriter.channel(), m_connections.operators, m_traffic.statusRequests(),
              m_traffic.statusReplies())
    {
    }

    ~SidecarNode()
    {
        m_operators.stop();
        m_discovery.stop();
        m_traffic.stop();
        m_log.write(LogLevel::Info, "node", { { "event", "stopped" } });
        m_logWriter.stop();
    }
    SidecarNode(const SidecarNode&) = delete;
    SidecarNode& operator=(const SidecarNode&) = delete;

    // Opens the sockets and starts the threads. Returns an error message, or an empty text on success.
    std::string start()
    {
        auto error = m_traffic.open();
        if (error.empty())
            error = m_operators.open(m_settings.operatorAddress);
        if (error.empty() && m_settings.metricsAddress)
            error = m_operators.open(*m_settings.metricsAddress);
        if (!error.empty())
            return error;
        m_logWriter.start();
        m_log.write(LogLevel::Info, "node",
            { { "event", "started" }, { "dataCentre", m_settings.dataCentre.text },
                { "service", m_settings.service.text }, { "target", toString(m_settings.targetAddress) },
                { "callerAddress", toString(m_settings.callerAddress) } });
        m_traffic.start();
        m_operators.start();
        m_discovery.start();
        return {};
    }

    // Starts a planned stop. It is complete when drained() returns true.
    void beginStop()
    {
        m_log.write(LogLevel::Info, "node", { { "event", "stopping" } });
        m_traffic.beginStop();
    }

    // Logs the result of reading the settings again: whether they differ from those in use or, if they are
    // invalid, the first fault. Changed settings take effect at the next start.
    void recordReload(const util::Checked<SidecarSettings>& settings)
    {
        if (settings) {
            m_log.write(LogLevel::Info, "node",
                { { "event", "reloaded" }, { "changed", !(*settings == m_settings) } });
            return;
        }
        const auto& firstFault = settings.error().front();
        m_log.write(LogLevel::Error, "node",
            { { "event", "reload-refused" }, { "setting", firstFault.path },
                { "reason", firstFault.reason } });
    }

    // Returns whether the planned stop is complete.
    [[nodiscard]] bool drained() const { return m_state.drained.load(); }

private:
    // The incarnation is a random number, because the wall clock may step. It distinguishes the starts of a
    // node but does not order them.
    static HelloFrame makeHello(const SidecarSettings& settings)
    {
        std::random_device device;
        const auto incarnation = (static_cast<std::uint64_t>(device()) << 32U) | device();
        return { peerProtocolVersion, settings.fleet, settings.instance.text, incarnation };
    }

    static DirectoryOptions directoryOptions(const SidecarSettings& settings)
    {
        DirectoryOptions options;
        options.peerPort = settings.peerAddress.port;
        options.evacuation = evacuationOptions(settings.policy.evacuationBound);
        return options;
    }

    SidecarSettings m_settings;
    NodeState m_state;
    LogWriter m_logWriter;
    LogChannel& m_log;
    NodeConnectionLimits m_connections;
    DiscoveryWatcher<Store> m_discovery;
    SidecarTraffic m_traffic;
    OperatorServer m_operators;
};

} // namespace tarragonhaven
