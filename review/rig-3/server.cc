#include "server.h"

#include <cstdio>
#include <cstdlib>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace rig {

namespace {

    constexpr int exitNotRun = 2;

} // namespace

Server::Server(const Address& address, Handler handler)
    : m_listener(listenAt(address))
    , m_handler(std::move(handler))
{
    if (m_listener < 0) {
        std::fprintf(stderr, "cannot listen at %s\n", address.text().c_str());
        std::exit(exitNotRun);
    }
    m_acceptor = std::thread([this] { acceptAll(); });
}

Server::~Server()
{
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    close(m_listener);
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& connection : m_connections)
            connection->end();
    }
    for (auto& thread : m_threads)
        thread.join();
}

void Server::acceptAll()
{
    while (true) {
        const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            return;
        auto connection = std::make_shared<Connection>(descriptor);
        const std::lock_guard lock(m_mutex);
        m_connections.insert(connection);
        m_threads.emplace_back([this, connection = std::move(connection)] { serve(connection); });
    }
}

void Server::serve(const std::shared_ptr<Connection>& connection)
{
    for (auto head = connection->readHead(); head; head = connection->readHead()) {
        if (!m_handler(*connection, *head))
            break;
    }
    const std::lock_guard lock(m_mutex);
    m_connections.erase(connection);
}

} // namespace rig
