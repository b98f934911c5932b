#pragma once

#include "tarragonhaven/memory/connection_limits.h"
#include "tarragonhaven/memory/connection_stage.h"
#include "util/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace tarragonhaven {

// Decides which connections a port accepts, and which it closes to make room for others. Does no I/O: the
// owner reports what the connections do, and carries out the decisions.
//
// When a limit is reached, the connection that has made the least progress for longest is closed: first those
// on which no request was completed, then those between requests, then those that wait for their peer to send
// or read a body. Each stage has a time without progress before which no connection is closed, so that new
// connections cannot displace others that are about to be used. Connections with a running request are not
// closed. If none can be closed, accepting pauses.
//
// Each operation takes logarithmic time, except that a limit by address may search the connections of others.
class ConnectionTable {
public:
    using Id = std::uint64_t;

    enum class Verdict {
        Accepted,
        // The address has its number of connections, and none of them can be closed.
        RefusedByAddress,
        // Only the reserve of descriptors is left, and no connection can be closed.
        RefusedByDescriptors,
    };

    // A connection to be closed.
    struct Candidate {
        Id id = 0;
        ConnectionStage stage = ConnectionStage::New;
        util::Duration stalled {};
    };

    struct Admission {
        Verdict verdict = Verdict::Accepted;
        // Set if a connection is to be closed to make room for the one that is accepted.
        std::optional<Candidate> closes;
    };

    explicit ConnectionTable(const ConnectionLimits& limits)
        : m_limits(limits)
    {
    }

    // Returns whether one more connection may be accepted, if need be by closing another.
    [[nodiscard]] bool mayAccept(util::Time now) const;
    // Decides on a connection that the system has accepted with this descriptor. The system gives out the
    // lowest free one, so that at least that many are in use.
    [[nodiscard]] Admission admit(const std::string& address, std::size_t descriptor, util::Time now) const;
    Id add(const std::string& address, util::Time now);
    // Returns the time since a connection made progress; 0 if there is none with this id.
    [[nodiscard]] util::Duration stalled(Id id, util::Time now) const;
    // Records what a connection does. A change counts as progress.
    void setStage(Id id, ConnectionStage stage, util::Time now);
    // Records that a part of a body has arrived or was written.
    void recordProgress(Id id, util::Time now);
    // Removes a connection, unless it was removed before.
    void remove(Id id);

    [[nodiscard]] std::size_t size() const { return m_connections.size(); }
    [[nodiscard]] const ConnectionLimits& limits() const { return m_limits; }

private:
    struct Connection {
        Id id = 0;
        std::string address;
        ConnectionStage stage = ConnectionStage::New;
        util::Time progressAt {};
    };
    using Order = std::list<Connection>;

    Order& orderOf(ConnectionStage stage) { return m_byStage.at(static_cast<std::size_t>(stage)); }
    void moveToBack(Order::iterator connection, ConnectionStage stage, util::Time now);
    // Returns the connection to be closed first, if there is one; of one address only, unless it is empty.
    [[nodiscard]] std::optional<Candidate> candidate(const std::string& address, util::Time now) const;

    ConnectionLimits m_limits;
    // The connections of each stage, that with the longest time without progress first.
    std::array<Order, connectionStageCount> m_byStage;
    std::unordered_map<Id, Order::iterator> m_connections;
    std::map<std::string, std::size_t> m_byAddress;
    Id m_lastId = 0;
};

} // namespace tarragonhaven
