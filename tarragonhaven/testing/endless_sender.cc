#include "tarragonhaven/testing/endless_sender.h"

#include <boost/asio/write.hpp>
#include <utility>

namespace tarragonhaven::testing {

using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

EndlessSender::EndlessSender(boost::asio::io_context& io, std::string beginning, std::string repeated)
    : m_acceptor(io)
    , m_socket(io)
    , m_pending(std::move(beginning))
    , m_repeated(std::move(repeated))
{
}

Endpoint EndlessSender::listen()
{
    const tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
    m_acceptor.open(any.protocol());
    m_acceptor.bind(any);
    m_acceptor.listen();
    m_acceptor.async_accept(m_socket, [this](error_code error) {
        if (!error)
            send();
    });
    return { "127.0.0.1", m_acceptor.local_endpoint().port() };
}

void EndlessSender::connect(const Endpoint& server)
{
    const tcp::endpoint address(boost::asio::ip::make_address(server.address), server.port);
    m_socket.async_connect(address, [this](error_code error) {
        if (!error)
            send();
    });
}

void EndlessSender::send()
{
    boost::asio::async_write(
        m_socket, boost::asio::buffer(m_pending), [this](error_code error, std::size_t bytes) {
            m_sentBytes += bytes;
            m_pending = m_repeated;
            if (error)
                m_ended = true;
            else
                send();
        });
}

} // namespace tarragonhaven::testing
