#include "tarragonhaven/pipelining/peer_close.h"

#include <poll.h>

namespace tarragonhaven {

bool isClosedByPeer(boost::asio::ip::tcp::socket& socket)
{
    if (!socket.is_open())
        return true;
    pollfd descriptor { socket.native_handle(), POLLRDHUP, 0 };
    return ::poll(&descriptor, 1, 0) > 0;
}

} // namespace tarragonhaven
