#pragma once

#include "tarragonhaven/control_message.h"
#include "tarragonhaven/endpoint.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>

namespace tarragonhaven {

// Sends and receives control messages between nodes, one in a UDP datagram. Delivery is not guaranteed: a
// message that cannot be sent is dropped without an error, like one that the network loses. Received
// datagrams that are no valid message, or are of another fleet, are ignored.
class DatagramSocket {
public:
    using Handler = std::function<void(const Endpoint& source, const ControlEnvelope&)>;

    DatagramSocket(
        boost::asio::io_context& io, std::string fleet, InstanceName self, std::uint64_t incarnation);

    // Opens the socket and binds it to `endpoint`. Returns an error message, or an empty text on success.
    std::string open(const Endpoint& endpoint);
    // Starts to pass received messages to `handler`. `afterEach` runs after every datagram, valid or not.
    void receive(Handler handler, std::function<void()> afterEach);
    // Sends `message` as this node, without waiting for a confirmation.
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
