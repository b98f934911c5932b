#pragma once

#include "tarragonhaven/control_message.h"
#include "tarragonhaven/endpoint.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>

namespace tarragonhaven {

// Carries control messages between nodes in datagrams. One that cannot be sent is dropped, as one that the
// network loses; bytes that are no message are passed over.
class DatagramSocket {
public:
    using Handler = std::function<void(const Endpoint& source, const ControlEnvelope&)>;

    DatagramSocket(
        boost::asio::io_context& io, std::string fleet, InstanceName self, std::uint64_t incarnation);

    // Opens the socket. Returns an empty text, or why that failed.
    std::string open(const Endpoint& endpoint);
    // Hands over messages as they come, from now on. `afterEach` runs after every datagram, sound or not.
    void receive(Handler handler, std::function<void()> afterEach);
    void send(const Endpoint& to, ControlMessage message);

private:
    void receiveNext();

    std::string m_fleet;
    InstanceName m_self;
    std::uint64_t m_incarnation;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_source;
    std::array<char, 2048> m_buffer {};
    Handler m_handler;
    std::function<void()> m_afterEach;
};

} // namespace tarragonhaven
