#pragma once

#include "util/time.h"

#include <boost/asio/ip/tcp.hpp>

namespace tarragonhaven {

// Makes a connection fail within about `silence` when its other end has gone without a word: bytes that are
// not acknowledged and probes of an idle connection that are not answered end it. Also sends small writes at
// once.
void setPeerTimeout(boost::asio::ip::tcp::socket& socket, util::Duration timeout);

} // namespace tarragonhaven
