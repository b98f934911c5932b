#include "tarragonhaven/testing/client_flood.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <array>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <list>
#include <thread>
#include <utility>

namespace tarragonhaven::testing {

namespace {

    namespace asio = boost::asio;
    using boost::system::error_code;
    using tcp = asio::ip::tcp;

    constexpr int receiveBufferBytes = 4096;
    constexpr int sendBufferBytes = 65'536;
    constexpr std::size_t readBytes = 65'536;
    constexpr auto slowReadInterval = std::chrono::milliseconds(100);

} // namespace

class ClientFlood::Connection {
public:
    Connection(Rep& rep, int number);

    void open(const Endpoint& server);

private:
    void sendNext(std::size_t sentRepetitions);
    void waitAndSend(std::size_t sentRepetitions);
    void readNext();
    // Called once the connection sends nothing more, or only at intervals.
    void endSending();
    void close();

    Rep& m_rep;
    const std::string m_beginning;
    const std::string m_repeated;
    tcp::socket m_socket;
    asio::steady_timer m_sendTimer;
    asio::steady_timer m_readTimer;
    bool m_sending = true;
};

class ClientFlood::Rep {
public:
    Rep(const Endpoint& server, int connections, FloodPattern pattern)
        : pattern(std::move(pattern))
        , sending(connections)
        , m_work(io.get_executor())
    {
        for (int i = 0; i < connections; ++i)
            m_connections.emplace_back(*this, i).open(server);
        m_thread = std::thread([this] { io.run(); });
    }
    ~Rep()
    {
        io.stop();
        m_thread.join();
    }
    Rep(const Rep&) = delete;
    Rep& operator=(const Rep&) = delete;

    asio::io_context io;
    const FloodPattern pattern;
    std::array<char, readBytes> discarded {};
    std::atomic<std::size_t> sentBytes { 0 };
    std::atomic<std::size_t> receivedBytes { 0 };
    std::atomic<int> connected { 0 };
    std::atomic<int> sending;

private:
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::list<Connection> m_connections;
    std::thread m_thread;
};

ClientFlood::Connection::Connection(Rep& rep, int number)
    : m_rep(rep)
    , m_beginning(
          absl::StrReplaceAll(rep.pattern.beginning, { { floodConnectionNumber, absl::StrCat(number) } }))
    , m_repeated(
          absl::StrReplaceAll(rep.pattern.repeated, { { floodConnectionNumber, absl::StrCat(number) } }))
    , m_socket(rep.io)
    , m_sendTimer(rep.io)
    , m_readTimer(rep.io)
{
}

void ClientFlood::Connection::open(const Endpoint& server)
{
    const tcp::endpoint address(asio::ip::make_address(server.address), server.port);
    error_code error;
    m_socket.open(address.protocol(), error);
    m_socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), error);
    m_socket.set_option(asio::socket_base::send_buffer_size(sendBufferBytes), error);
    m_socket.set_option(tcp::no_delay(true), error);
    m_socket.async_connect(address, [this](error_code connectError) {
        if (connectError)
            return close();
        ++m_rep.connected;
        if (m_rep.pattern.reading != FloodPattern::Reading::Nothing)
            readNext();
        asio::async_write(
            m_socket, asio::buffer(m_beginning), [this](error_code writeError, std::size_t bytes) {
                m_rep.sentBytes += bytes;
                if (writeError)
                    return close();
                sendNext(0);
            });
    });
}

void ClientFlood::Connection::sendNext(std::size_t sentRepetitions)
{
    const auto& pattern = m_rep.pattern;
    if (sentRepetitions == pattern.repetitions)
        return endSending();
    if (pattern.interval.count() > 0) {
        endSending();
        return waitAndSend(sentRepetitions);
    }
    asio::async_write(
        m_socket, asio::buffer(m_repeated), [this, sentRepetitions](error_code error, std::size_t bytes) {
            m_rep.sentBytes += bytes;
            if (error)
                return close();
            sendNext(sentRepetitions + 1);
        });
}

void ClientFlood::Connection::waitAndSend(std::size_t sentRepetitions)
{
    if (sentRepetitions == m_rep.pattern.repetitions)
        return;
    m_sendTimer.expires_after(m_rep.pattern.interval);
    m_sendTimer.async_wait([this, sentRepetitions](error_code) {
        asio::async_write(
            m_socket, asio::buffer(m_repeated), [this, sentRepetitions](error_code error, std::size_t bytes) {
                m_rep.sentBytes += bytes;
                if (error)
                    return close();
                waitAndSend(sentRepetitions + 1);
            });
    });
}

void ClientFlood::Connection::readNext()
{
    const bool slowly = m_rep.pattern.reading == FloodPattern::Reading::Slowly;
    m_socket.async_read_some(asio::buffer(m_rep.discarded.data(), slowly ? 1 : m_rep.discarded.size()),
        [this, slowly](error_code error, std::size_t bytes) {
            m_rep.receivedBytes += bytes;
            if (error)
                return close();
            if (!slowly)
                return readNext();
            m_readTimer.expires_after(slowReadInterval);
            m_readTimer.async_wait([this](error_code) { readNext(); });
        });
}

void ClientFlood::Connection::endSending()
{
    if (std::exchange(m_sending, false))
        --m_rep.sending;
}

void ClientFlood::Connection::close()
{
    endSending();
    error_code ignored;
    m_socket.close(ignored);
}

ClientFlood::ClientFlood(const Endpoint& server, int connections, FloodPattern pattern)
    : m_rep(std::make_unique<Rep>(server, connections, std::move(pattern)))
{
}

ClientFlood::~ClientFlood() = default;

std::size_t ClientFlood::sentBytes() const { return m_rep->sentBytes; }

std::size_t ClientFlood::receivedBytes() const { return m_rep->receivedBytes; }

int ClientFlood::connected() const { return m_rep->connected; }

int ClientFlood::sending() const { return m_rep->sending; }

} // namespace tarragonhaven::testing
