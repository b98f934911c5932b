#include "tarragonhaven/testing/scripted_target.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace tarragonhaven::testing {

namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = beast::http;
    using boost::system::error_code;
    using tcp = asio::ip::tcp;

} // namespace

class ScriptedTarget::Rep : public std::enable_shared_from_this<Rep> {
public:
    Rep(asio::io_context& io, const std::string& address, std::string field, Script callback)
        : acceptor(io, tcp::endpoint(asio::ip::make_address(address), 0))
        , idField(std::move(field))
        , script(std::move(callback))
    {
    }

    void accept();

    tcp::acceptor acceptor;
    std::string idField;
    Script script;
    int connections = 0;
    std::map<std::string, int> runs;
};

class ScriptedTarget::Session : public std::enable_shared_from_this<Session> {
public:
    Session(std::shared_ptr<Rep> rep, tcp::socket socket, int connection)
        : m_rep(std::move(rep))
        , m_socket(std::move(socket))
    {
        m_next.connection = connection;
    }

    void read()
    {
        m_request = {};
        http::async_read(
            m_socket, m_buffer, m_request, [self = shared_from_this()](error_code error, std::size_t) {
                if (!error)
                    self->answer();
            });
    }

private:
    void answer()
    {
        m_next.id = std::string(m_request[m_rep->idField]);
        m_answer = m_rep->script(m_next);
        ++m_next.onConnection;
        if (m_answer.runs)
            ++m_rep->runs[m_next.id];
        asio::async_write(m_socket, asio::buffer(m_answer.bytes),
            [self = shared_from_this()](error_code error, std::size_t) {
                if (!error)
                    self->onWritten();
            });
    }

    void onWritten()
    {
        if (m_answer.end == ScriptedAnswer::End::Keep)
            return read();
        error_code ignored;
        if (m_answer.end == ScriptedAnswer::End::Reset)
            m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        m_socket.close(ignored);
    }

    std::shared_ptr<Rep> m_rep;
    tcp::socket m_socket;
    beast::flat_buffer m_buffer;
    http::request<http::empty_body> m_request;
    ScriptedRequest m_next;
    ScriptedAnswer m_answer;
};

void ScriptedTarget::Rep::accept()
{
    acceptor.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
        if (error)
            return;
        std::make_shared<Session>(self, std::move(socket), self->connections++)->read();
        self->accept();
    });
}

ScriptedTarget::ScriptedTarget(
    asio::io_context& io, const std::string& address, std::string idField, Script script)
    : m_rep(std::make_shared<Rep>(io, address, std::move(idField), std::move(script)))
{
    m_rep->accept();
}

ScriptedTarget::~ScriptedTarget()
{
    error_code ignored;
    m_rep->acceptor.close(ignored);
}

Endpoint ScriptedTarget::address() const
{
    const auto endpoint = m_rep->acceptor.local_endpoint();
    return { endpoint.address().to_string(), endpoint.port() };
}

const std::map<std::string, int>& ScriptedTarget::runs() const { return m_rep->runs; }

} // namespace tarragonhaven::testing
