#include "tarragonhaven/testing/entry_node.h"

#include "tarragonhaven/testing/local_fleet.h"

#include <boost/asio/post.hpp>
#include <future>
#include <stdexcept>

namespace tarragonhaven::testing {

namespace {

    constexpr int slotsPerTarget = 4;
    constexpr int maximumConnections = 1000;
    constexpr util::Duration tickInterval = std::chrono::milliseconds(20);
    const InstanceName self { "i11" };

    EntryOptions entryOptions(const EntryNodeOptions& options)
    {
        EntryOptions result;
        result.headerNames = entryNodeHeaderNames();
        result.headerNames.strictRefusals = options.strictRefusals;
        result.nonQueuingAttempts = 5;
        result.remoteNonQueuingAttempts = 1;
        result.hedgeShareOfObjective = 0.7;
        result.bufferedResponseBytes = options.bufferedResponseBytes;
        result.deadlineCoversBody = true;
        result.serveWhileStopping = true;
        result.spill = options.spill;
        return result;
    }

    GuardOptions guardOptions()
    {
        GuardOptions options;
        options.headerNames = entryNodeHeaderNames();
        return options;
    }

    ConfigurationPointer configurationOf(const EntryNodeOptions& options)
    {
        auto declaration = testDeclaration({});
        declaration.index.callerLimits = options.callerLimits;
        for (auto& route : declaration.index.routes) {
            route.objective = options.objective;
            route.deadline = options.deadline;
            route.idempotent = options.idempotent && (options.idempotentPosts || route.method != "POST");
            route.attempts = options.attempts;
        }
        auto configuration = Configuration::fromDeclaration(
            1, std::make_shared<const std::string>("{}"), std::move(declaration));
        if (!configuration)
            throw std::runtime_error("the test declaration is not valid");
        return *configuration;
    }

} // namespace

HeaderNames entryNodeHeaderNames()
{
    HeaderNames names;
    names.requestId = "Request-Id";
    names.notRun = "Not-Run";
    names.signature = "Signature";
    return names;
}

EntryNode::EntryNode(const EntryNodeOptions& options, const std::vector<TargetAddress>& targets)
    : m_options(options)
    , m_thread(tickInterval)
    , m_callerAddress { "127.0.0.1", freePort() }
    , m_guard(m_thread.io(), self, 1, guardOptions())
    , m_peers(m_thread.io(), {})
    , m_log(self.text, LogLevel::Error)
    , m_entry({ m_thread.io(), m_guard, m_peers, m_admission, m_log, m_metrics, self, { "dc1" }, 1,
          entryOptions(options) })
    , m_callers(m_thread.io(), m_entry, ConnectionLimits { maximumConnections, maximumConnections, 100'000 },
          m_counters,
          CallerSessionOptions { options.pipeline, options.progress, {}, options.memoryBoundBytes })
{
    std::vector<Target> directoryTargets;
    for (const auto& [name, address, dataCentre] : targets) {
        Target target { { name }, self, address, slotsPerTarget };
        target.dataCentre = { dataCentre };
        directoryTargets.push_back(target);
    }
    const auto directory = std::make_shared<const Directory>(
        Directory::TargetsByService { { { "status" }, directoryTargets } }, std::uint16_t { 1 });
    m_guard.apply(*directory);
    m_entry.apply(configurationOf(options), directory);
    m_entry.setReady(true);
    const auto error = m_callers.open(m_callerAddress);
    if (!error.empty())
        throw std::runtime_error(error);
    m_thread.start([] {},
        [this] {
            m_guard.tick();
            if (m_options.spill.enabled)
                m_entry.tick();
            m_callers.relieveMemory();
        });
}

EntryNode::~EntryNode()
{
    m_thread.stop([this] { m_callers.closeAll(); });
}

void EntryNode::runOnThread(const std::function<void()>& call)
{
    std::promise<void> done;
    boost::asio::post(m_thread.io(), [&] {
        call();
        done.set_value();
    });
    done.get_future().wait();
}

int EntryNode::slotsInUse()
{
    int slots = 0;
    runOnThread([&] {
        for (const auto& [name, target] : m_guard.targets())
            slots += target->slotsInUse();
    });
    return slots;
}

std::size_t EntryNode::heldBytes()
{
    std::size_t bytes = 0;
    runOnThread([&] { bytes = m_entry.bodyBudget().heldBytes(); });
    return bytes;
}

std::string EntryNode::metrics()
{
    MetricsPage page;
    runOnThread([&] { m_metrics.addTo(page); });
    return page.text();
}

void EntryNode::stop()
{
    runOnThread([this] {
        m_entry.stop();
        m_callers.closeAfterResponses();
    });
}

void EntryNode::abandonRequests()
{
    runOnThread([this] { m_callers.abandonRequests(); });
}

} // namespace tarragonhaven::testing
