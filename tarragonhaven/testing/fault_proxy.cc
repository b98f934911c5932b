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
    // How often a direction that is held up looks whether it may go on.
    constexpr auto holdPoll = std::chrono::milliseconds(10);

    void reset(tcp::socket& socket)
    {
        error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

} // namespace

// One connection through the proxy, with a pump for each direction.
class FaultProxy::Session : public std::enable_shared_from_this<Session> {
public:
    Session(FaultProxy& proxy, tcp::socket socket)
        : m_proxy(proxy)
        , m_client(std::move(socket))
        , m_server(proxy.m_io)
        , m_forth { m_client, m_server, asio::steady_timer(proxy.m_io), {}, 0, true }
        , m_back { m_server, m_client, asio::steady_timer(proxy.m_io), {}, 0, false }
    {
    }

    void start()
    {
        const tcp::endpoint address(
            asio::ip::make_address(m_proxy.m_forward.address), m_proxy.m_forward.port);
        m_server.async_connect(address, [self = shared_from_this()](error_code error) {
            if (error)
                return self->end();
            error_code ignored;
            self->m_client.set_option(tcp::no_delay(true), ignored);
            self->m_server.set_option(tcp::no_delay(true), ignored);
            self->read(self->m_forth);
            self->read(self->m_back);
        });
    }

    // Ends with a reset towards both sides.
    void end()
    {
        if (std::exchange(m_ended, true))
            return;
        reset(m_client);
        reset(m_server);
        m_forth.timer.cancel();
        m_back.timer.cancel();
        m_proxy.m_sessions.erase(shared_from_this());
    }

    void silence() { m_silent = true; }

private:
    struct Pump {
        tcp::socket& from;
        tcp::socket& to;
        asio::steady_timer timer;
        std::array<char, chunkBytes> bytes;
        std::size_t count;
        bool forth;
    };

    void read(Pump& pump)
    {
        pump.from.async_read_some(asio::buffer(pump.bytes),
            [self = shared_from_this(), &pump](error_code error, std::size_t count) {
                if (error == asio::error::eof)
                    return self->pass(pump, 0);
                if (error)
                    return self->end();
                self->pass(pump, count);
            });
    }

    void pass(Pump& pump, std::size_t count)
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
        if (m_silent || (pump.forth ? fault.holdForth : fault.holdBack)) {
            pump.timer.expires_after(holdPoll);
            return pump.timer.async_wait([self = shared_from_this(), &pump](error_code error) {
                if (!error)
                    self->write(pump);
            });
        }
        if (pump.count == 0) {
            error_code ignored;
            pump.to.shutdown(tcp::socket::shutdown_send, ignored);
            return finished();
        }
        asio::async_write(pump.to, asio::buffer(pump.bytes, pump.count),
            [self = shared_from_this(), &pump](error_code error, std::size_t) {
                if (error)
                    return self->end();
                self->read(pump);
            });
    }

    // Both sides have said all that they had to say.
    void finished()
    {
        if (!std::exchange(m_half, true))
            return;
        m_ended = true;
        error_code ignored;
        m_client.close(ignored);
        m_server.close(ignored);
        m_proxy.m_sessions.erase(shared_from_this());
    }

    FaultProxy& m_proxy;
    tcp::socket m_client;
    tcp::socket m_server;
    Pump m_forth;
    Pump m_back;
    bool m_silent = false;
    bool m_half = false;
    bool m_ended = false;
};

FaultProxy::FaultProxy(asio::io_context& io, const Endpoint& listen, Endpoint forward)
    : m_io(io)
    , m_forward(std::move(forward))
    , m_listener(io, [this](tcp::socket socket) {
        if (m_fault.refuse)
            return reset(socket);
        auto session = std::make_shared<Session>(*this, std::move(socket));
        m_sessions.insert(session);
        session->start();
    })
{
    const auto fault = m_listener.open(listen);
    if (!fault.empty())
        throw std::runtime_error("fault proxy: " + fault);
}

FaultProxy::~FaultProxy() { resetAll(); }

void FaultProxy::set(const ProxyFault& fault) { m_fault = fault; }

void FaultProxy::resetAll()
{
    const auto sessions = m_sessions;
    for (const auto& session : sessions)
        session->end();
}

void FaultProxy::silenceAll()
{
    for (const auto& session : m_sessions)
        session->silence();
}

} // namespace tarragonhaven::testing
