#include "tarragonhaven/memory/tracked_connection.h"

#include <utility>

namespace tarragonhaven {

void TrackedConnection::Registry::remove(ConnectionTable::Id id)
{
    table.remove(id);
    closeHandlers.erase(id);
}

void TrackedConnection::Registry::close(ConnectionTable::Id id)
{
    const auto handler = closeHandlers.extract(id);
    table.remove(id);
    if (!handler.empty())
        handler.mapped()();
}

TrackedConnection::TrackedConnection(std::shared_ptr<Registry> registry, const std::string& address)
    : m_registry(std::move(registry))
    , m_id(m_registry->table.add(address, util::BootClock::now()))
{
}

TrackedConnection::~TrackedConnection() { m_registry->remove(m_id); }

void TrackedConnection::onClose(CloseHandler handler)
{
    m_registry->closeHandlers[m_id] = std::move(handler);
}

void TrackedConnection::setStage(ConnectionStage stage)
{
    m_registry->table.setStage(m_id, stage, util::BootClock::now());
}

util::Duration TrackedConnection::stalled() const
{
    return m_registry->table.stalled(m_id, util::BootClock::now());
}

void TrackedConnection::recordProgress() { m_registry->table.recordProgress(m_id, util::BootClock::now()); }

} // namespace tarragonhaven
