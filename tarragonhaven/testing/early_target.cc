#include "tarragonhaven/testing/early_target.h"

#include <absl/strings/str_cat.h>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <thread>
#include <utility>

namespace tarragonhaven::testing {

namespace {

    namespace asio = boost::asio;
    using boost::system::error_code;
    using tcp = asio::ip::tcp;

} // namespace

class EarlyTarget::Rep {
public:
    Rep(std::string idField, std::size_t bytesBeforeResponse, Script script)
        : m_idField(std::move(idField))
        , m_bytesBeforeResponse(bytesBeforeResponse)
        , m_script(std::move(script))
        , m_acceptor(m_io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , m_endpoint(m_acceptor.local_endpoint())
        , m_thread([this] { serve(); })
    {
    }
    ~Rep()
    {
        m_stopping = true;
        // Wakes the thread that accepts.
        tcp::socket socket(m_io);
        error_code ignored;
        socket.connect(m_endpoint, ignored);
        socket.close(ignored);
        m_thread.join();
    }
    Rep(const Rep&) = delete;
    Rep& operator=(const Rep&) = delete;

    [[nodiscard]] Endpoint address() const { return { "127.0.0.1", m_endpoint.port() }; }
    [[nodiscard]] int resets() const { return m_resets; }

private:
    void serve()
    {
        while (!m_stopping) {
            error_code error;
            auto socket = m_acceptor.accept(error);
            if (!error && !m_stopping)
                respond(std::move(socket));
        }
    }

    void respond(tcp::socket socket)
    {
        std::string request(m_bytesBeforeResponse, '\0');
        error_code error;
        asio::read(socket, asio::buffer(request), error);
        if (error)
            return;
        asio::write(socket, asio::buffer(m_script(idOf(request))), error);
        // With a linger time of zero, closing resets the connection.
        socket.set_option(asio::socket_base::linger(true, 0), error);
        socket.close(error);
        ++m_resets;
    }

    [[nodiscard]] std::string idOf(const std::string& request) const
    {
        const auto field = absl::StrCat("\r\n", m_idField, ": ");
        const auto begin = request.find(field);
        if (begin == std::string::npos)
            return {};
        const auto value = begin + field.size();
        return request.substr(value, request.find("\r\n", value) - value);
    }

    std::string m_idField;
    std::size_t m_bytesBeforeResponse;
    Script m_script;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_resets = 0;
    asio::io_context m_io;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_endpoint;
    std::thread m_thread;
};

EarlyTarget::EarlyTarget(const std::string& idField, std::size_t bytesBeforeResponse, Script script)
    : m_rep(std::make_unique<Rep>(idField, bytesBeforeResponse, std::move(script)))
{
}

EarlyTarget::~EarlyTarget() = default;

Endpoint EarlyTarget::address() const { return m_rep->address(); }

int EarlyTarget::resets() const { return m_rep->resets(); }

} // namespace tarragonhaven::testing
