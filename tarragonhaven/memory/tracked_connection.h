#pragma once

#include "tarragonhaven/memory/connection_table.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace tarragonhaven {

// One connection in the table of its port, from when it is accepted until it is destroyed.
class TrackedConnection {
public:
    using CloseHandler = std::function<void()>;

    // The connections of a port. Shared with connections that outlive the port.
    struct Registry {
        explicit Registry(const ConnectionLimits& limits)
            : table(limits)
        {
        }
        ConnectionTable table;
        std::unordered_map<ConnectionTable::Id, CloseHandler> closeHandlers;

        void remove(ConnectionTable::Id id);
        // Closes a connection, which counts as removed from then on.
        void close(ConnectionTable::Id id);
    };

    TrackedConnection(std::shared_ptr<Registry> registry, const std::string& address);
    ~TrackedConnection();
    TrackedConnection(const TrackedConnection&) = delete;
    TrackedConnection& operator=(const TrackedConnection&) = delete;

    // Sets what closes the connection to make room for another.
    void onClose(CloseHandler handler);
    void setStage(ConnectionStage stage);
    void recordProgress();
    // Returns the time since the connection made progress.
    [[nodiscard]] util::Duration stalled() const;

private:
    std::shared_ptr<Registry> m_registry;
    ConnectionTable::Id m_id;
};

} // namespace tarragonhaven
