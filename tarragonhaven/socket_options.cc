// Errors are ignored, since a connection on which an option cannot be set still works; it only takes longer
// to detect an unresponsive peer.

#include "tarragonhaven/socket_options.h"

#include <algorithm>
#include <netinet/tcp.h>

namespace tarragonhaven {

namespace {

    using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using KeepIdle = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using KeepInterval = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using KeepCount = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

    // A connection fails after this many unanswered probes. The idle time before the first probe and the time
    // after each probe are equal parts of the timeout, in whole seconds and at least 1 s.
    constexpr int keepAliveProbes = 2;

} // namespace

void setPeerTimeout(boost::asio::ip::tcp::socket& socket, util::Duration timeout)
{
    boost::system::error_code ignored;
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
    const int seconds = std::max(1, static_cast<int>(milliseconds / 1000 / (keepAliveProbes + 1)));
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(UserTimeout(static_cast<int>(milliseconds)), ignored);
    socket.set_option(KeepIdle(seconds), ignored);
    socket.set_option(KeepInterval(seconds), ignored);
    socket.set_option(KeepCount(keepAliveProbes), ignored);
}

} // namespace tarragonhaven
