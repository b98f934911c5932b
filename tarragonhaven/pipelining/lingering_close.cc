#include "tarragonhaven/pipelining/lingering_close.h"

#include <utility>

namespace tarragonhaven {

namespace {

    using boost::system::error_code;
    using tcp = boost::asio::ip::tcp;

    // A caller in reach closes its side within a round trip of reading the last response.
    constexpr util::Duration maximumLinger = std::chrono::seconds(1);
    constexpr std::size_t maximumDiscardedBytes = 1024 * 1024;

} // namespace

LingeringClose::LingeringClose(std::shared_ptr<CallerConnection> connection, std::function<void()> onClosed)
    : m_connection(std::move(connection))
    , m_onClosed(std::move(onClosed))
    , m_timer(m_connection->stream.get_executor())
{
}

void LingeringClose::start()
{
    error_code ignored;
    m_connection->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    m_timer.expires_after(maximumLinger);
    m_timer.async_wait([self = shared_from_this()](error_code error) {
        if (!error)
            self->close();
    });
    discard();
}

void LingeringClose::discard()
{
    m_connection->stream.socket().async_read_some(
        boost::asio::buffer(m_discarded), [self = shared_from_this()](error_code error, std::size_t count) {
            self->m_discardedBytes += count;
            if (error || self->m_discardedBytes > maximumDiscardedBytes)
                return self->close();
            self->discard();
        });
}

void LingeringClose::close()
{
    m_timer.cancel();
    m_connection->stream.close();
    if (m_onClosed)
        std::exchange(m_onClosed, nullptr)();
}

} // namespace tarragonhaven
