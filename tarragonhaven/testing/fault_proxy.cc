#include "tarragonhaven/testing/fault_proxy.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <stdexcept>
#include <utility>

namespace tarragonhaven::testing {

namespace {

    namespace asio = boost::asio;
    using boost::system::error_code;
    using tcp = asio::ip::tcp;

    constexpr std::size_t chunkBytes = 16 * 1024;
    // The interval at which a stalled direction checks whether the stall has ended.
    constexpr auto stallPollInterval = std::chrono::milliseconds(10);

    // Closes the connection with a TCP reset: a linger time of zero discards unsent data.
    void reset(tcp::socket& socket)
    {
        error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

} // namespace

// A connection through the proxy, with a pump for each direction. A pump reads a chunk, waits for the delay
// and the end of any stall, writes the chunk, and reads again.
class FaultProxy::Session : public std::enable_shared_from_this<Session> {
public:
    Session(FaultProxy& proxy, tcp::socket socket)
        : m_proxy(proxy)
        , m_client(std::move(socket))
        , m_server(proxy.m_io)
        , m_toServer { m_client, m_server, asio::steady_timer(proxy.m_io), {}, 0, true }
        , m_toClient { m_server, m_client, asio::steady_timer(proxy.m_io), {}, 0, false }
    {
    }

    void start()
    {
        const tcp::endpoint address(
            asio::ip::make_address(m_proxy.m_forward.address), m_proxy.m_forward.port);
        m_server.async_connect(address, [self = shared_from_this()](error_code error) {
            if (error)
                return self->abort();
            error_code ignored;
            self->m_client.set_option(tcp::no_delay(true), ignored);
            self->m_server.set_option(tcp::no_delay(true), ignored);
            self->read(self->m_toServer);
            self->read(self->m_toClient);
        });
    }

    // Resets the connections to the client and the server.
    void abort()
    {
        if (std::exchange(m_closed, true))
            return;
        reset(m_client);
        reset(m_server);
        m_toServer.timer.cancel();
        m_toClient.timer.cancel();
        m_proxy.m_sessions.erase(shared_from_this());
    }

    void stall() { m_stalled = true; }

private:
    struct Pump {
        tcp::socket& from;
        tcp::socket& to;
        asio::steady_timer timer;
        std::array<char, chunkBytes> bytes;
        std::size_t count;
        bool isToServer;
    };

    void read(Pump& pump)
    {
        pump.from.async_read_some(asio::buffer(pump.bytes),
            [self = shared_from_this(), &pump](error_code error, std::size_t count) {
                if (error == asio::error::eof)
                    return self->scheduleWrite(pump, 0);
                if (error)
                    return self->abort();
                self->scheduleWrite(pump, count);
            });
    }

    // Writes a chunk of `count` bytes after the delay; a count of 0 is the end of the stream.
    void scheduleWrite(Pump& pump, std::size_t count)
    {
        pump.count = count;
        const auto delay = m_proxy.m_fault.delay;
        if (delay.count() == 0)
            return write(pump);
        pump.timer.expires_after(delay);
        pump.timer.async_wait([self = shared_from_this(), &pump](error_code error) {
            if (!error)
                self->write(pump);
        });
    }

    void write(Pump& pump)
    {
        const auto& fault = m_proxy.m_fault;
        if (m_stalled || (pump.isToServer ? fault.stallToServer : fault.stallToClient)) {
            pump.timer.expires_after(stallPollInterval);
            return pump.timer.async_wait([self = shared_from_this(), &pump](error_code error) {
                if (!error)
                    self->write(pump);
            });
        }
        if (pump.count == 0) {
            error_code ignored;
            pump.to.shutdown(tcp::socket::shutdown_send, ignored);
            return onDirectionClosed();
        }
        asio::async_write(pump.to, asio::buffer(pump.bytes, pump.count),
            [self = shared_from_this(), &pump](error_code error, std::size_t) {
                if (error)
                    return self->abort();
                self->read(pump);
            });
    }

    // Closes the connection once both directions have reached the end of their streams.
    void onDirectionClosed()
    {
        if (!std::exchange(m_halfClosed, true))
            return;
        m_closed = true;
        error_code ignored;
        m_client.close(ignored);
        m_server.close(ignored);
        m_proxy.m_sessions.erase(shared_from_this());
    }

    FaultProxy& m_proxy;
    tcp::socket m_client;
    tcp::socket m_server;
    Pump m_toServer;
    Pump m_toClient;
    bool m_stalled = false;
    bool m_halfClosed = false;
    bool m_closed = false;
};

FaultProxy::FaultProxy(asio::io_context& io, const Endpoint& listen, Endpoint forward)
    : m_io(io)
    , m_forward(std::move(forward))
    , m_listener(io, [this](tcp::socket socket) {
        if (m_fault.resetNewConnections)
            return reset(socket);
        auto session = std::make_shared<Session>(*this, std::move(socket));
        m_sessions.insert(session);
        session->start();
    })
{
    const auto error = m_listener.open(listen);
    if (!error.empty())
        throw std::runtime_error("fault proxy cannot start: " + error);
}

FaultProxy::~FaultProxy() { resetOpenConnections(); }

void FaultProxy::setFault(const ProxyFault& fault) { m_fault = fault; }

void FaultProxy::resetOpenConnections()
{
    const auto sessions = m_sessions;
    for (const auto& session : sessions)
        session->abort();
}

void FaultProxy::stallOpenConnections()
{
    for (const auto& session : m_sessions)
        session->stall();
}

} // namespace tarragonhaven::testing
