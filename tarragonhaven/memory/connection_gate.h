#pragma once

#include "tarragonhaven/listener.h"
#include "tarragonhaven/log_channel.h"
#include "tarragonhaven/memory/connection_limits.h"
#include "tarragonhaven/memory/line_limiter.h"
#include "tarragonhaven/memory/port_counters.h"
#include "tarragonhaven/memory/tracked_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tarragonhaven {

// Accepts connections within ConnectionLimits, as ConnectionTable decides, counts and logs what it decides.
// While accepting is paused, new connections wait in the queue of the listening socket.
class ConnectionGate : public Listener::AcceptPolicy {
public:
    using Handler = std::function<void(boost::asio::ip::tcp::socket, std::unique_ptr<TrackedConnection>)>;

    // `port` is the name of the port in the log and must be a string literal. The other references must
    // outlive the gate.
    struct Dependencies {
        boost::asio::io_context& io;
        const char* port;
        PortCounters& counters;
        LogChannel& log;
    };

    ConnectionGate(const Dependencies& dependencies, const ConnectionLimits& limits, Handler handler);

    // Opens a listening socket; may be called several times. Returns an empty text, or an error message on
    // failure.
    std::string open(const Endpoint& endpoint);
    // Stops accepting.
    void close();

private:
    bool mayAccept() override;
    void onAcceptFailed(const std::string& reason) override;
    void accept(boost::asio::ip::tcp::socket socket);
    // Returns whether the connection is accepted. Closes another to make room for it if necessary.
    bool admit(const std::string& address, std::size_t descriptor);
    void pause(const std::string& reason);
    void resume();

    Dependencies m_dependencies;
    Handler m_handler;
    std::shared_ptr<TrackedConnection::Registry> m_registry;
    std::vector<std::unique_ptr<Listener>> m_listeners;
    util::Time m_pausedSince {};
    LineLimiter m_pauseLines;
    LineLimiter m_resumeLines;
    LineLimiter m_closeLines;
    LineLimiter m_refusalLines;
};

} // namespace tarragonhaven
