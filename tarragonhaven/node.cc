#include "tarragonhaven/node.h"

#include "tarragonhaven/configuration_watcher.h"
#include "tarragonhaven/control_thread.h"
#include "tarragonhaven/log_writer.h"
#include "tarragonhaven/memory/descriptor_limit.h"
#include "tarragonhaven/memory/machine_memory.h"
#include "tarragonhaven/memory/node_connection_limits.h"
#include "tarragonhaven/node_state.h"
#include "tarragonhaven/node_traffic.h"
#include "tarragonhaven/operator_server.h"
#include "util/sha256.h"

#include <absl/time/clock.h>

namespace tarragonhaven {

namespace {

    constexpr int idempotencySecretBytes = 32;

    HelloFrame makeHello(const NodeSettings& settings)
    {
        // The start time in nanoseconds, so that each start of an instance has a higher incarnation than all
        // earlier starts.
        const auto incarnation = static_cast<std::uint64_t>(absl::GetCurrentTimeNanos());
        return { peerProtocolVersion, settings.fleet, settings.instance.text, incarnation };
    }

} // namespace

class Node::Rep {
public:
    explicit Rep(NodeSettings nodeSettings)
        : settings(std::move(nodeSettings))
        , hello(makeHello(settings))
        , logWriter(settings.instance.text, settings.logLevel, settings.logBudget)
        , log(logWriter.channel())
        , connections(connectionLimits(settings.connections, descriptorLimit()))
        , configuration(settings, hello, logWriter.channel())
        , idempotencySecret(util::randomHex(idempotencySecretBytes))
        , control({ settings.peerAddress,
              { settings.fleet, settings.instance, settings.dataCentre, hello.incarnation, idempotencySecret,
                  settings.seedPeers },
              logWriter.channel(), configuration.controlEvents(), configuration.peerRevisions() })
        , traffic({ settings, hello, state, logWriter.channel(), configuration.trafficEvents(),
              control.requests(), control.replies(), idempotencySecret, connections,
              memoryBoundFor(settings.memoryBoundBytes) })
        , operators(state, logWriter.channel(), connections.operators, traffic.statusRequests(),
              traffic.statusReplies())
    {
    }

    NodeSettings settings;
    HelloFrame hello;
    NodeState state;
    LogWriter logWriter;
    LogChannel& log;
    NodeConnectionLimits connections;
    ConfigurationWatcher configuration;
    std::string idempotencySecret;
    ControlThread control;
    NodeTraffic traffic;
    OperatorServer operators;
};

Node::Node(NodeSettings settings)
    : m_rep(std::make_unique<Rep>(std::move(settings)))
{
}

Node::~Node()
{
    m_rep->operators.stop();
    m_rep->configuration.stop();
    m_rep->control.stop();
    m_rep->traffic.stop();
    m_rep->log.write(LogLevel::Info, "node", { { "event", "stopped" } });
    m_rep->logWriter.stop();
}

std::string Node::start()
{
    auto error = m_rep->traffic.open();
    if (error.empty())
        error = m_rep->control.open();
    if (error.empty())
        error = m_rep->operators.open(m_rep->settings.operatorAddress);
    if (!error.empty())
        return error;
    m_rep->logWriter.start();
    m_rep->log.write(LogLevel::Info, "node",
        { { "event", "started" }, { "dataCentre", m_rep->settings.dataCentre.text },
            { "callerAddress", toString(m_rep->settings.callerAddress) },
            { "incarnation", m_rep->hello.incarnation } });
    m_rep->traffic.start();
    m_rep->control.start();
    m_rep->configuration.start();
    m_rep->operators.start();
    return {};
}

void Node::beginStop()
{
    m_rep->log.write(LogLevel::Info, "node", { { "event", "stopping" } });
    m_rep->traffic.beginStop();
}

bool Node::drained() const { return m_rep->state.drained.load(); }

} // namespace tarragonhaven
