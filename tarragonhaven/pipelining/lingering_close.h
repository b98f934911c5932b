#pragma once

#include "tarragonhaven/pipelining/caller_connection.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace tarragonhaven {

// Closes a connection on which the caller may still be sending, so that it can read the last response:
// closing a socket with unread bytes resets the connection, and the caller may lose what it has not read.
// Closes the sending direction, then discards what arrives until the caller closes the connection as well,
// for a limited time and number of bytes.
class LingeringClose : public std::enable_shared_from_this<LingeringClose> {
public:
    // `onClosed` is called once, when the connection has been closed.
    LingeringClose(std::shared_ptr<CallerConnection> connection, std::function<void()> onClosed);

    // No other operation on the connection may be pending.
    void start();
    // Closes the connection at once.
    void close();

private:
    void discard();

    std::shared_ptr<CallerConnection> m_connection;
    std::function<void()> m_onClosed;
    boost::asio::steady_timer m_timer;
    std::array<char, 4096> m_discarded {};
    std::size_t m_discardedBytes = 0;
};

} // namespace tarragonhaven
