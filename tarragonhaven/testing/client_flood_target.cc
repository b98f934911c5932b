#include "tarragonhaven/testing/client_flood_target.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace tarragonhaven::testing {

namespace {

    namespace asio = boost::asio;
    using boost::system::error_code;
    using tcp = asio::ip::tcp;

    constexpr std::size_t bufferBytes = 16'384;
    constexpr int receiveBufferBytes = 4096;
    constexpr int chunksPerWrite = 1000;

    std::string tinyChunks()
    {
        std::string chunks;
        for (int i = 0; i < chunksPerWrite; ++i)
            chunks += "1\r\nx\r\n";
        return chunks;
    }

    // Returns the value of a field of a request head; empty if it has none.
    std::string fieldOf(const std::string& head, const std::string& name)
    {
        const auto lowered = absl::AsciiStrToLower(head);
        const auto line = absl::StrCat("\r\n", absl::AsciiStrToLower(name), ":");
        const auto found = lowered.find(line);
        if (found == std::string::npos)
            return {};
        const auto start = found + line.size();
        return std::string(absl::StripAsciiWhitespace(head.substr(start, head.find('\r', start) - start)));
    }

} // namespace

class TinyChunkTarget::Rep : public std::enable_shared_from_this<Rep> {
public:
    Rep(asio::io_context& io, const Endpoint& address, std::string targetName, HeaderNames names,
        TinyChunkAnswer floodAnswer)
        : name(std::move(targetName))
        , headerNames(std::move(names))
        , answer(floodAnswer)
        , chunks(tinyChunks())
        , m_acceptor(io, tcp::endpoint(asio::ip::make_address(address.address), address.port))
    {
        // Inherited by the accepted sockets, so that what the target does not read stays with its sender
        // soon.
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
    }

    void accept();
    void stop() { m_acceptor.close(); }

    const std::string name;
    const HeaderNames headerNames;
    const TinyChunkAnswer answer;
    const std::string chunks;

private:
    tcp::acceptor m_acceptor;
};

class TinyChunkTarget::Session : public std::enable_shared_from_this<Session> {
public:
    Session(std::shared_ptr<Rep> rep, tcp::socket socket)
        : m_rep(std::move(rep))
        , m_socket(std::move(socket))
    {
    }

    void readHead()
    {
        asio::async_read_until(m_socket, asio::dynamic_buffer(m_received, bufferBytes * 2), "\r\n\r\n",
            [self = shared_from_this()](error_code error, std::size_t bytes) {
                if (!error)
                    self->handle(bytes);
            });
    }

private:
    void handle(std::size_t headBytes)
    {
        const auto head = m_received.substr(0, headBytes);
        m_received.erase(0, headBytes);
        const auto& names = m_rep->headerNames;
        const auto fields = absl::StrCat("HTTP/1.1 200 OK\r\n", names.requestId, ": ",
            fieldOf(head, names.requestId), "\r\n", names.signature, ": ", m_rep->name, "\r\n");
        if (head.substr(0, head.find('\r')).find("flood") == std::string::npos) {
            m_response = fields + "Content-Length: 2\r\n\r\nok";
            return respond([this] { readHead(); });
        }
        if (m_rep->answer == TinyChunkAnswer::EndlessResponse) {
            m_response = fields + "Transfer-Encoding: chunked\r\n\r\n";
            return respond([this] { writeChunks(); });
        }
        if (m_rep->answer == TinyChunkAnswer::ReadOnly)
            return discardBody();
        m_socket.async_wait(
            tcp::socket::wait_error, [self = shared_from_this()](error_code) { /* keeps the connection */ });
    }

    template <typename Next> void respond(Next next)
    {
        asio::async_write(m_socket, asio::buffer(m_response),
            [self = shared_from_this(), next](error_code error, std::size_t) {
                if (!error)
                    next();
            });
    }

    void writeChunks()
    {
        asio::async_write(m_socket, asio::buffer(m_rep->chunks),
            [self = shared_from_this()](error_code error, std::size_t) {
                if (!error)
                    self->writeChunks();
            });
    }

    void discardBody()
    {
        m_socket.async_read_some(
            asio::buffer(m_discarded), [self = shared_from_this()](error_code error, std::size_t) {
                if (!error)
                    self->discardBody();
            });
    }

    std::shared_ptr<Rep> m_rep;
    tcp::socket m_socket;
    std::string m_received;
    std::string m_response;
    std::array<char, bufferBytes> m_discarded {};
};

void TinyChunkTarget::Rep::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
        if (!self->m_acceptor.is_open())
            return;
        if (!error)
            std::make_shared<Session>(self, std::move(socket))->readHead();
        self->accept();
    });
}

TinyChunkTarget::TinyChunkTarget(asio::io_context& io, const Endpoint& address, std::string name,
    const HeaderNames& headerNames, TinyChunkAnswer answer)
    : m_rep(std::make_shared<Rep>(io, address, std::move(name), headerNames, answer))
{
    m_rep->accept();
}

TinyChunkTarget::~TinyChunkTarget() { m_rep->stop(); }

} // namespace tarragonhaven::testing
