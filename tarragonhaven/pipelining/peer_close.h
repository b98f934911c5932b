#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace tarragonhaven {

// Returns whether the peer has closed the connection, or its sending direction, although bytes that it sent
// before may not have been read yet. Does not detect it while the receive window is full.
bool isClosedByPeer(boost::asio::ip::tcp::socket& socket);

} // namespace tarragonhaven
