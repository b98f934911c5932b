#include "tarragonhaven/listener.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>

namespace tarragonhaven {

namespace {

    using boost::system::error_code;
    using tcp = boost::asio::ip::tcp;

    constexpr int backlog = 1024;
    // The delay before the next accept after a failure, such as a lack of file descriptors, and during a
    // pause.
    constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

Listener::Listener(boost::asio::io_context& io, SocketHandler handler, AcceptPolicy* policy)
    : m_acceptor(io)
    , m_io(io)
    , m_handler(std::move(handler))
    , m_policy(policy)
{
}

std::string Listener::open(const Endpoint& endpoint)
{
    error_code error;
    const tcp::endpoint address(boost::asio::ip::make_address(endpoint.address), endpoint.port);
    m_acceptor.open(address.protocol(), error);
    if (!error)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(address, error);
    if (!error)
        m_acceptor.listen(backlog, error);
    if (error)
        return error.message();
    acceptNext();
    return {};
}

void Listener::close()
{
    error_code ignored;
    m_acceptor.close(ignored);
}

void Listener::acceptNext()
{
    if (m_policy && !m_policy->mayAccept())
        return acceptLater();
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (!error) {
            m_handler(std::move(socket));
            return acceptNext();
        }
        if (m_policy)
            m_policy->onAcceptFailed(error.message());
        acceptLater();
    });
}

void Listener::acceptLater()
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, acceptRetryDelay);
    timer->async_wait([this, timer](error_code) {
        if (m_acceptor.is_open())
            acceptNext();
    });
}

} // namespace tarragonhaven
