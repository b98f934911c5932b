#pragma once

#include "tarragonhaven/endpoint.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace tarragonhaven::testing {

// Stands in a FloodPattern for the number of the connection, so that its requests have an id of their own.
inline constexpr const char* floodConnectionNumber = "{connection}";

// What each connection of a client flood sends and reads.
struct FloodPattern {
    enum class Reading {
        Nothing,
        // One byte every 100 ms.
        Slowly,
        Everything,
    };
    // Sent first, as fast as the server takes it.
    std::string beginning;
    // Sent `repetitions` times after the beginning, each `interval` after the one before has been taken.
    std::string repeated;
    std::size_t repetitions = 0;
    std::chrono::milliseconds interval { 0 };
    Reading reading = Reading::Nothing;
};

// Opens connections to a server that all follow the same pattern and stay open until the flood ends or the
// server closes them. Connections that the server closes are not opened again. Uses a thread of its own and
// one descriptor for each connection. The buffers of its sockets are small, so that what the server does not
// read and what the flood does not read stays with the server soon.
class ClientFlood {
public:
    ClientFlood(const Endpoint& server, int connections, FloodPattern pattern);
    // Closes all connections.
    ~ClientFlood();
    ClientFlood(const ClientFlood&) = delete;
    ClientFlood& operator=(const ClientFlood&) = delete;

    // Returns the number of bytes that all connections have sent.
    [[nodiscard]] std::size_t sentBytes() const;
    // Returns the number of bytes that all connections have read.
    [[nodiscard]] std::size_t receivedBytes() const;
    // Returns the number of connections that have been established, including those that were closed later.
    [[nodiscard]] int connected() const;
    // Returns the number of connections that have not been closed and still send as fast as they can.
    [[nodiscard]] int sending() const;

private:
    class Rep;
    class Connection;
    std::unique_ptr<Rep> m_rep;
};

} // namespace tarragonhaven::testing
