#include "tarragonhaven/testing/quota_fleet.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace tarragonhaven::testing {

namespace {

    constexpr std::size_t dataCentres = 3;
    constexpr util::Duration tickInterval = std::chrono::milliseconds(100);

} // namespace

QuotaFleet::QuotaFleet(Shape shape, unsigned seed)
    : m_shape(std::move(shape))
    , m_random(seed)
    , m_nodes(m_shape.nodes)
    , m_starts(m_shape.nodes)
{
    for (std::size_t i = 0; i < m_shape.nodes; ++i) {
        m_names.push_back("10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250));
        m_indexes.emplace(InstanceName { m_names.back() }, i);
    }
    for (std::size_t i = 0; i < m_shape.nodes; ++i)
        start(i);
    // The fleet has run for some time.
    runUntil(m_now + std::chrono::seconds(15));
}

void QuotaFleet::at(util::Time time, std::function<void()> action)
{
    m_events.schedule(time, std::move(action));
}

void QuotaFleet::runUntil(util::Time end)
{
    while (const auto event = m_events.takeNext(end)) {
        m_now = event->at;
        event->action();
    }
    m_now = end;
}

void QuotaFleet::start(std::size_t index)
{
    const auto limitOf = [this](const std::string& name) {
        const auto found = m_shape.limits.find(name);
        return found == m_shape.limits.end() ? std::nullopt : std::optional(found->second);
    };
    m_nodes[index] = std::make_unique<QuotaNode>(
        QuotaNode::Settings { { m_names[index] }, m_shape.policy, m_now, limitOf });
    m_nodes[index]->setMembers(m_names);
    scheduleTick(index, ++m_starts[index]);
}

void QuotaFleet::kill(std::size_t index)
{
    m_nodes[index].reset();
    ++m_starts[index];
}

void QuotaFleet::scheduleTick(std::size_t index, std::uint64_t start)
{
    const auto phase = std::chrono::microseconds(m_random() % 2000);
    at(m_now + tickInterval + phase, [this, index, start] {
        if (m_starts[index] != start)
            return;
        m_nodes[index]->tick(m_now);
        flush(index);
        scheduleTick(index, start);
    });
}

std::vector<std::size_t> QuotaFleet::randomNodes(std::size_t count)
{
    std::vector<std::size_t> nodes(size());
    std::iota(nodes.begin(), nodes.end(), 0);
    std::shuffle(nodes.begin(), nodes.end(), m_random);
    nodes.resize(count);
    return nodes;
}

util::Duration QuotaFleet::delay(std::size_t from, std::size_t to)
{
    const auto jitter = std::chrono::microseconds(100 + m_random() % 200);
    return from % dataCentres == to % dataCentres
        ? util::Duration(jitter)
        : jitter + std::chrono::milliseconds(1 + (from + to) % dataCentres);
}

void QuotaFleet::flush(std::size_t index)
{
    for (auto& [to, message] : m_nodes[index]->takeOutgoing())
        send(index, m_indexes.at(to), std::move(message));
    m_nodes[index]->takeAggregatorChanges();
}

void QuotaFleet::send(std::size_t from, std::size_t to, const ControlMessage& message)
{
    ++m_messages;
    const auto bytes = encodeControl({ "fleet", { m_names[from] }, 1, message });
    m_bytes += bytes.size();
    const bool lost = std::uniform_real_distribution<>()(m_random) < m_shape.lossShare;
    if (lost || (m_interruption && m_interruption(from, to)))
        return;
    at(m_now + delay(from, to),
        [this, from, to, start = m_starts[to], message = decodeControl(bytes).value().message] {
            if (m_nodes[to] && m_starts[to] == start)
                deliver(from, to, message);
        });
}

void QuotaFleet::deliver(std::size_t from, std::size_t to, const ControlMessage& message)
{
    auto& node = *m_nodes[to];
    const InstanceName sender { m_names[from] };
    if (const auto* report = std::get_if<QuotaReportMessage>(&message)) {
        if (auto reply = node.receive(sender, *report, m_now))
            send(to, from, std::move(*reply));
    }
    if (const auto* remote = std::get_if<RemoteQuotaUsageMessage>(&message))
        node.receive(sender, *remote, m_now);
    if (const auto* query = std::get_if<QuotaQueryMessage>(&message)) {
        if (auto report = node.receive(*query, m_now))
            send(to, from, std::move(*report));
    }
    flush(to);
}

} // namespace tarragonhaven::testing
