#pragma once

#include "connection.h"

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace rig {

// Accepts connections at an address and serves each on a thread of its own.
class Server {
public:
    // Returns whether the connection is kept for one more request.
    using Handler = std::function<bool(Connection&, const MessageHead&)>;

    Server(const Address& address, Handler handler);
    // Ends all connections, as the end of a process does. Requests in progress are not answered.
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

private:
    void acceptAll();
    void serve(const std::shared_ptr<Connection>& connection);

    int m_listener;
    Handler m_handler;
    std::mutex m_mutex;
    std::set<std::shared_ptr<Connection>> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

} // namespace rig
