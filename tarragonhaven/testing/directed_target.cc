#include "tarragonhaven/testing/directed_target.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <mutex>
#include <optional>
#include <poll.h>
#include <thread>

namespace tarragonhaven::testing {

namespace {

    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    using boost::system::error_code;
    using tcp = asio::ip::tcp;

    struct Directions {
        int waitMs = 0;
        std::size_t bytes = 10;
        bool chunked = false;
        bool cut = false;
        bool other = false;
    };

    Directions parseDirections(const std::string& path)
    {
        Directions directions;
        for (const auto& segment : absl::StrSplit(path, '/')) {
            int number = 0;
            if (segment.size() > 1 && absl::SimpleAtoi(segment.substr(1), &number)) {
                if (segment[0] == 'w')
                    directions.waitMs = number;
                if (segment[0] == 's')
                    directions.bytes = static_cast<std::size_t>(number);
            }
            directions.chunked = directions.chunked || segment == "chunked";
            directions.cut = directions.cut || segment == "cut";
            directions.other = directions.other || segment == "other";
        }
        return directions;
    }

} // namespace

class DirectedTarget::Rep {
public:
    explicit Rep(std::string field)
        : idField(std::move(field))
        , acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , thread([this] { accept(); })
    {
    }

    ~Rep()
    {
        stopping = true;
        // Ends the wait for a connection.
        error_code ignored;
        tcp::socket(io).connect(acceptor.local_endpoint(), ignored);
        thread.join();
        for (auto& connection : connections) {
            connection.socket.shutdown(tcp::socket::shutdown_both, ignored);
            connection.thread.join();
        }
    }

    void accept()
    {
        while (true) {
            error_code error;
            auto socket = acceptor.accept(error);
            if (stopping)
                return;
            if (error)
                continue;
            auto& connection = connections.emplace_back(Connection { std::move(socket), {} });
            connection.thread = std::thread([this, &connection] { serve(connection.socket); });
        }
    }

    void serve(tcp::socket& socket)
    {
        boost::beast::flat_buffer buffer;
        error_code error;
        while (!error) {
            http::request<http::string_body> request;
            http::read(socket, buffer, request, error);
            if (error)
                break;
            const std::string id(request[idField]);
            const auto directions = parseDirections(std::string(request.target()));
            const auto number = begin(id);
            pollfd closed { socket.native_handle(), POLLIN, 0 };
            const bool cancelled = ::poll(&closed, 1, directions.waitMs) > 0;
            end(number, cancelled);
            if (!cancelled)
                respond(socket, directions.other ? "other" : id, directions, error);
            if (cancelled || directions.cut)
                break;
        }
        socket.shutdown(tcp::socket::shutdown_both, error);
    }

    static void respond(
        tcp::socket& socket, const std::string& id, const Directions& directions, error_code& error)
    {
        auto body = bodyFor(id, directions.bytes);
        std::string text = absl::StrCat("HTTP/1.1 200 OK\r\nRequest-Id: ", id, "\r\nSignature: s\r\n");
        if (directions.cut)
            body.resize(body.size() / 2);
        if (directions.chunked)
            absl::StrAppend(&text, "Transfer-Encoding: chunked\r\n\r\n", absl::Hex(body.size()), "\r\n", body,
                "\r\n", directions.cut ? "" : "0\r\n\r\n");
        else
            absl::StrAppend(&text, "Content-Length: ", directions.bytes, "\r\n\r\n", body);
        asio::write(socket, asio::buffer(text), error);
    }

    std::size_t begin(const std::string& id)
    {
        const std::lock_guard lock(mutex);
        runs.push_back({ id, std::chrono::steady_clock::now(), {}, false });
        return runs.size() - 1;
    }

    void end(std::size_t number, bool cancelled)
    {
        const std::lock_guard lock(mutex);
        runs[number].end = std::chrono::steady_clock::now();
        runs[number].cancelled = cancelled;
    }

    struct Connection {
        tcp::socket socket;
        std::thread thread;
    };

    std::string idField;
    mutable std::mutex mutex;
    std::vector<DirectedRun> runs;
    asio::io_context io;
    tcp::acceptor acceptor;
    std::atomic<bool> stopping { false };
    std::list<Connection> connections;
    std::thread thread;
};

DirectedTarget::DirectedTarget(const std::string& idField)
    : m_rep(std::make_unique<Rep>(idField))
{
}

DirectedTarget::~DirectedTarget() = default;

Endpoint DirectedTarget::address() const { return { "127.0.0.1", m_rep->acceptor.local_endpoint().port() }; }

std::vector<DirectedRun> DirectedTarget::runs() const
{
    const std::lock_guard lock(m_rep->mutex);
    return m_rep->runs;
}

std::string DirectedTarget::bodyFor(const std::string& id, std::size_t bytes)
{
    std::string body;
    while (body.size() < bytes)
        absl::StrAppend(&body, id, ";");
    body.resize(bytes);
    return body;
}

} // namespace tarragonhaven::testing
