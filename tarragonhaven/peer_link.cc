// Frames are read in two steps: first the length prefix, then the payload, into a buffer that grows as the
// bytes arrive, up to maximumFrameBytes, and is freed afterwards. So an announced length alone takes no
// memory, and before the HelloFrame has been checked, frames are limited to its size. A link that has failed
// is closed and cannot be reopened.

#include "tarragonhaven/peer_link.h"

#include "tarragonhaven/close_watch.h"
#include "tarragonhaven/socket_options.h"

#include <algorithm>
#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <utility>

namespace tarragonhaven {

namespace {

    namespace asio = boost::asio;
    using boost::system::error_code;
    using tcp = asio::ip::tcp;

    // The limit of the first frame, which contains the names of the fleet and the instance.
    constexpr std::size_t maximumHelloBytes = 4096;
    // How much of a frame is read at a time. Most frames are smaller.
    constexpr std::size_t payloadStepBytes = 64 * 1024;

} // namespace

class PeerLink::Rep : public std::enable_shared_from_this<PeerLink::Rep> {
public:
    Rep(boost::beast::tcp_stream stream, HelloFrame localHello)
        : m_stream(std::move(stream))
        , m_localHello(std::move(localHello))
    {
    }

    void connect(const Endpoint& endpoint, util::Duration timeout, CompletionHandler done)
    {
        m_stream.expires_after(timeout);
        const tcp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
        m_stream.async_connect(
            address, [self = shared_from_this(), timeout, done = std::move(done)](error_code error) {
                if (self->m_closed)
                    return;
                if (error) {
                    self->fail(error.message());
                    return done(false);
                }
                setPeerTimeout(self->m_stream.socket(), unresponsiveTimeout);
                self->write(self->m_localHello, timeout, [self, timeout, done](bool written) {
                    if (!written)
                        return done(false);
                    self->readHello(timeout, done);
                });
            });
    }

    void accept(util::Duration timeout, CompletionHandler done)
    {
        setPeerTimeout(m_stream.socket(), unresponsiveTimeout);
        readHello(timeout, [self = shared_from_this(), timeout, done = std::move(done)](bool accepted) {
            if (!accepted)
                return done(false);
            self->write(self->m_localHello, timeout, done);
        });
    }

    void write(const PeerFrame& frame, util::Duration timeout, CompletionHandler done)
    {
        m_writeBuffer = encodeFrame(frame);
        m_stream.expires_after(timeout);
        asio::async_write(m_stream, asio::buffer(m_writeBuffer),
            [self = shared_from_this(), done = std::move(done)](error_code error, std::size_t) {
                if (self->m_closed)
                    return;
                if (error)
                    self->fail(error.message());
                done(!error);
            });
    }

    void read(util::Duration timeout, FrameHandler handler)
    {
        m_stream.expires_after(timeout);
        asio::async_read(m_stream, asio::buffer(m_lengthBuffer),
            [self = shared_from_this(), handler = std::move(handler)](error_code error, std::size_t) {
                if (self->m_closed)
                    return;
                const auto length
                    = decodeFrameLength({ self->m_lengthBuffer.data(), self->m_lengthBuffer.size() });
                if (error || !length || *length > self->m_frameLimit) {
                    self->fail(
                        error ? error.message() : "received a frame whose length is zero or above the limit");
                    return handler(std::nullopt);
                }
                self->readPayload(*length, handler);
            });
    }

    void watchClose(std::function<void()> onClosed)
    {
        if (!m_closed)
            m_watch.start(m_stream.socket(), std::move(onClosed));
    }

    void stopWatch() { m_watch.stop(); }

    void close()
    {
        m_closed = true;
        m_watch.stop();
        error_code ignored;
        m_stream.socket().close(ignored);
    }

    bool isReusable() { return !m_closed && m_error.empty() && !hasUnread(); }

    bool hasUnread()
    {
        error_code error;
        m_stream.socket().non_blocking(true, error);
        char byte = 0;
        m_stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error != asio::error::would_block;
    }

    [[nodiscard]] const HelloFrame& peerHello() const { return m_peerHello; }
    [[nodiscard]] const std::string& error() const { return m_error; }

private:
    void fail(const std::string& reason)
    {
        if (m_error.empty())
            m_error = reason.empty() ? "closed" : reason;
        error_code ignored;
        m_stream.socket().close(ignored);
    }

    void readPayload(std::size_t length, const FrameHandler& handler)
    {
        const auto received = m_readBuffer.size();
        m_readBuffer.resize(std::min(length, received + payloadStepBytes));
        asio::async_read(m_stream, asio::buffer(m_readBuffer) + received,
            [self = shared_from_this(), length, handler](error_code error, std::size_t) {
                if (self->m_closed)
                    return;
                if (!error && self->m_readBuffer.size() < length)
                    return self->readPayload(length, handler);
                auto frame = error ? std::nullopt : decodeFrame(self->m_readBuffer);
                self->m_readBuffer.clear();
                self->m_readBuffer.shrink_to_fit();
                if (!frame)
                    self->fail(error ? error.message() : "received bytes that are not a valid frame");
                handler(std::move(frame));
            });
    }

    void readHello(util::Duration timeout, CompletionHandler done)
    {
        read(timeout, [self = shared_from_this(), done = std::move(done)](std::optional<PeerFrame> frame) {
            done(frame && self->checkHello(*frame));
        });
    }

    bool checkHello(const PeerFrame& frame)
    {
        const auto* hello = std::get_if<HelloFrame>(&frame);
        if (!hello)
            fail("the first frame of the peer is not a HelloFrame");
        else if (hello->version != m_localHello.version)
            fail("the peer uses another protocol version: " + std::to_string(hello->version));
        else if (hello->fleet != m_localHello.fleet)
            fail("the peer belongs to another fleet");
        else
            acceptHello(*hello);
        return m_error.empty();
    }

    void acceptHello(const HelloFrame& hello)
    {
        m_peerHello = hello;
        m_frameLimit = maximumFrameBytes;
    }

    boost::beast::tcp_stream m_stream;
    HelloFrame m_localHello;
    HelloFrame m_peerHello;
    std::array<char, frameLengthBytes> m_lengthBuffer {};
    std::string m_readBuffer;
    std::string m_writeBuffer;
    std::string m_error;
    std::size_t m_frameLimit = maximumHelloBytes;
    bool m_closed = false;
    CloseWatch m_watch;
};

PeerLink::PeerLink(asio::io_context& io, HelloFrame localHello)
    : m_rep(std::make_shared<Rep>(boost::beast::tcp_stream(io), std::move(localHello)))
{
}

PeerLink::PeerLink(tcp::socket socket, HelloFrame localHello)
    : m_rep(std::make_shared<Rep>(boost::beast::tcp_stream(std::move(socket)), std::move(localHello)))
{
}

PeerLink::~PeerLink() { m_rep->close(); }

void PeerLink::connect(const Endpoint& endpoint, util::Duration timeout, CompletionHandler done)
{
    m_rep->connect(endpoint, timeout, std::move(done));
}

void PeerLink::accept(util::Duration timeout, CompletionHandler done)
{
    m_rep->accept(timeout, std::move(done));
}

void PeerLink::write(const PeerFrame& frame, util::Duration timeout, CompletionHandler done)
{
    m_rep->write(frame, timeout, std::move(done));
}

void PeerLink::read(util::Duration timeout, FrameHandler handler)
{
    m_rep->read(timeout, std::move(handler));
}

void PeerLink::close() { m_rep->close(); }

void PeerLink::watchClose(std::function<void()> onClosed) { m_rep->watchClose(std::move(onClosed)); }

void PeerLink::stopWatch() { m_rep->stopWatch(); }

bool PeerLink::isReusable() { return m_rep->isReusable(); }

bool PeerLink::hasUnread() { return m_rep->hasUnread(); }

const HelloFrame& PeerLink::peerHello() const { return m_rep->peerHello(); }

const std::string& PeerLink::error() const { return m_rep->error(); }

} // namespace tarragonhaven
