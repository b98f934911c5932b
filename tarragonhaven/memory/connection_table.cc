#include "tarragonhaven/memory/connection_table.h"

#include <iterator>

namespace tarragonhaven {

namespace {

    // Longer than a round trip between continents, within which a new connection sends its first request and
    // a caller that reuses a connection notices that it was closed.
    constexpr util::Duration minimumIdleTime = std::chrono::milliseconds(250);
    // Longer than TCP takes to recover from several lost packets.
    constexpr util::Duration minimumTransferStall = std::chrono::seconds(5);

    std::optional<util::Duration> minimumStall(ConnectionStage stage)
    {
        switch (stage) {
        case ConnectionStage::New:
        case ConnectionStage::Idle:
            return minimumIdleTime;
        case ConnectionStage::Transferring:
            return minimumTransferStall;
        case ConnectionStage::Running:
            return std::nullopt;
        }
        return std::nullopt;
    }

} // namespace

std::optional<ConnectionTable::Candidate> ConnectionTable::candidate(
    const std::string& address, util::Time now) const
{
    for (const auto& order : m_byStage) {
        for (const auto& connection : order) {
            const auto minimum = minimumStall(connection.stage);
            const auto stalled = now - connection.progressAt;
            if (!minimum || stalled < *minimum)
                break;
            if (address.empty() || connection.address == address)
                return Candidate { connection.id, connection.stage, stalled };
        }
    }
    return std::nullopt;
}

bool ConnectionTable::mayAccept(util::Time now) const
{
    return m_connections.size() < m_limits.total || candidate({}, now);
}

ConnectionTable::Admission ConnectionTable::admit(
    const std::string& address, std::size_t descriptor, util::Time now) const
{
    const auto found = m_byAddress.find(address);
    if (found != m_byAddress.end() && found->second >= m_limits.byAddress) {
        const auto closes = candidate(address, now);
        return { closes ? Verdict::Accepted : Verdict::RefusedByAddress, closes };
    }
    if (descriptor >= m_limits.descriptors) {
        const auto closes = candidate({}, now);
        return { closes ? Verdict::Accepted : Verdict::RefusedByDescriptors, closes };
    }
    // If no connection can be closed any more since mayAccept(), one is accepted beyond the total.
    if (m_connections.size() >= m_limits.total)
        return { Verdict::Accepted, candidate({}, now) };
    return {};
}

ConnectionTable::Id ConnectionTable::add(const std::string& address, util::Time now)
{
    const auto id = ++m_lastId;
    auto& order = orderOf(ConnectionStage::New);
    order.push_back({ id, address, ConnectionStage::New, now });
    m_connections.emplace(id, std::prev(order.end()));
    ++m_byAddress[address];
    return id;
}

util::Duration ConnectionTable::stalled(Id id, util::Time now) const
{
    const auto found = m_connections.find(id);
    return found == m_connections.end() ? util::Duration {} : now - found->second->progressAt;
}

void ConnectionTable::moveToBack(Order::iterator connection, ConnectionStage stage, util::Time now)
{
    auto& to = orderOf(stage);
    to.splice(to.end(), orderOf(connection->stage), connection);
    connection->stage = stage;
    connection->progressAt = now;
}

void ConnectionTable::setStage(Id id, ConnectionStage stage, util::Time now)
{
    const auto found = m_connections.find(id);
    if (found != m_connections.end() && found->second->stage != stage)
        moveToBack(found->second, stage, now);
}

void ConnectionTable::recordProgress(Id id, util::Time now)
{
    const auto found = m_connections.find(id);
    if (found != m_connections.end())
        moveToBack(found->second, found->second->stage, now);
}

void ConnectionTable::remove(Id id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    const auto connection = found->second;
    const auto count = m_byAddress.find(connection->address);
    if (--count->second == 0)
        m_byAddress.erase(count);
    orderOf(connection->stage).erase(connection);
    m_connections.erase(found);
}

} // namespace tarragonhaven
