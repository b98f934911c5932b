#pragma once

#include "util/time.h"

#include <boost/asio/ip/tcp.hpp>

namespace tarragonhaven {

// Makes a connection fail within about `timeout` if its peer disappears without closing it. The connection
// fails when bytes are not acknowledged, or when keep-alive probes of an idle connection get no response.
// Also disables Nagle's algorithm, so that small writes are sent at once.
void setPeerTimeout(boost::asio::ip::tcp::socket& socket, util::Duration timeout);

} // namespace tarragonhaven
