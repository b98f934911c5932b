#include "tarragonhaven/datagram_socket.h"

#include <utility>

namespace tarragonhaven {

namespace {

    using boost::system::error_code;
    using udp = boost::asio::ip::udp;

} // namespace

DatagramSocket::DatagramSocket(
    boost::asio::io_context& io, std::string fleet, InstanceName self, std::uint64_t incarnation)
    : m_fleet(std::move(fleet))
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_socket(io)
{
}

std::string DatagramSocket::open(const Endpoint& endpoint)
{
    error_code error;
    const udp::endpoint address(boost::asio::ip::make_address(endpoint.address), endpoint.port);
    m_socket.open(address.protocol(), error);
    if (!error)
        m_socket.bind(address, error);
    return error ? "cannot listen at the peer address (UDP): " + error.message() : std::string();
}

void DatagramSocket::receive(Handler handler, std::function<void()> afterEach)
{
    m_handler = std::move(handler);
    m_afterEach = std::move(afterEach);
    receiveNext();
}

void DatagramSocket::receiveNext()
{
    m_socket.async_receive_from(
        boost::asio::buffer(m_buffer), m_source, [this](error_code error, std::size_t count) {
            if (!m_socket.is_open())
                return;
            const auto envelope = error ? std::nullopt : decodeControl({ m_buffer.data(), count });
            if (envelope && envelope->fleet == m_fleet)
                m_handler({ m_source.address().to_string(), m_source.port() }, *envelope);
            m_afterEach();
            receiveNext();
        });
}

void DatagramSocket::send(const Endpoint& to, ControlMessage message)
{
    const auto bytes = encodeControl({ m_fleet, m_self, m_incarnation, std::move(message) });
    const udp::endpoint address(boost::asio::ip::make_address(to.address), to.port);
    error_code ignored;
    m_socket.send_to(boost::asio::buffer(bytes), address, 0, ignored);
}

} // namespace tarragonhaven
