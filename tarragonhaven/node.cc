#include "tarragonhaven/node.h"

#include "tarragonhaven/configuration_watcher.h"
#include "tarragonhaven/control_thread.h"
#include "tarragonhaven/log_writer.h"
#include "tarragonhaven/node_state.h"
#include "tarragonhaven/operator_duty.h"
#include "tarragonhaven/traffic_duty.h"
#include "util/sha256.h"

#include <absl/time/clock.h>

namespace tarragonhaven {

namespace {

    constexpr int secretBytes = 32;

    HelloFrame helloOf(const NodeSettings& settings)
    {
        // Later starts of an instance have higher incarnations.
        const auto incarnation = static_cast<std::uint64_t>(absl::GetCurrentTimeNanos());
        return { peerProtocolVersion, settings.fleet, settings.instance.text, incarnation };
    }

} // namespace

class Node::Rep {
public:
    explicit Rep(NodeSettings chosen)
        : settings(std::move(chosen))
        , hello(helloOf(settings))
        , logWriter(settings.instance.text, settings.logLevel, settings.logBudget)
        , log(logWriter.channel())
        , configuration(settings, hello, logWriter.channel())
        , identitySecret(util::randomHex(secretBytes))
        , control({ settings.peerAddress,
              { settings.fleet, settings.instance, settings.dataCentre, hello.incarnation, identitySecret,
                  settings.seedPeers },
              logWriter.channel(), configuration.controlEvents(), configuration.peerRevisions() })
        , traffic({ settings, hello, state, logWriter.channel(), configuration.trafficEvents(),
              control.requests(), control.replies(), identitySecret })
        , operators(state, traffic.statusRequests(), traffic.statusReplies())
    {
    }

    NodeSettings settings;
    HelloFrame hello;
    NodeState state;
    LogWriter logWriter;
    LogChannel& log;
    ConfigurationWatcher configuration;
    std::string identitySecret;
    ControlThread control;
    TrafficDuty traffic;
    OperatorDuty operators;
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
    auto fault = m_rep->traffic.open();
    if (fault.empty())
        fault = m_rep->control.open();
    if (fault.empty())
        fault = m_rep->operators.open(m_rep->settings.operatorAddress);
    if (!fault.empty())
        return fault;
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
