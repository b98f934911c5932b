#include "tarragonhaven/testing/http_caller.h"

#include "tarragonhaven/http_fields.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace tarragonhaven::testing {

namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = beast::http;
    using boost::system::error_code;
    using tcp = asio::ip::tcp;

    constexpr std::uint64_t bodyLimitBytes = 256'000'000;

} // namespace

std::string CallerReply::field(const std::string& name) const
{
    return std::string(fieldValue(fields, name));
}

class HttpCaller::Rep {
public:
    Rep(const Endpoint& chosen, std::chrono::milliseconds chosenPatience)
        : server(chosen)
        , patience(chosenPatience)
    {
    }

    bool connect()
    {
        if (connected)
            return true;
        error_code error;
        stream.emplace(io);
        buffer.clear();
        const tcp::endpoint address(asio::ip::make_address(server.address), server.port);
        stream->socket().connect(address, error);
        connected = !error;
        if (connected)
            stream->socket().set_option(tcp::no_delay(true), error);
        return connected;
    }

    void disconnect()
    {
        error_code ignored;
        if (stream)
            stream->socket().close(ignored);
        connected = false;
    }

    bool write(const CallerRequest& wanted)
    {
        http::request<http::string_body> request;
        request.version(11);
        request.method_string(wanted.method);
        request.target(wanted.target);
        request.set(http::field::host, toString(server));
        for (const auto& field : wanted.fields) {
            if (sameFieldName(field.name, "Host"))
                request.set(http::field::host, field.value);
            else
                request.insert(field.name, field.value);
        }
        request.body() = wanted.body;
        request.prepare_payload();
        error_code error;
        http::write(*stream, request, error);
        return !error;
    }

    std::optional<CallerReply> read(const std::string& method)
    {
        http::response_parser<http::string_body> parser;
        parser.body_limit(bodyLimitBytes);
        if (method == "HEAD")
            parser.skip(true);
        error_code error;
        run([&](auto done) { http::async_read_header(*stream, buffer, parser, done); }, error);
        if (error)
            return std::nullopt;
        if (!parser.is_done())
            run([&](auto done) { http::async_read(*stream, buffer, parser, done); }, error);
        CallerReply reply;
        reply.whole = !error;
        reply.status = static_cast<int>(parser.get().result_int());
        for (const auto& field : parser.get())
            reply.fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
        reply.body = parser.get().body();
        if (error || !parser.get().keep_alive())
            disconnect();
        return reply;
    }

    template <typename Start> void run(Start start, error_code& result)
    {
        stream->expires_after(patience);
        start([&result](error_code error, std::size_t) { result = error; });
        io.restart();
        io.run();
    }

    Endpoint server;
    std::chrono::milliseconds patience;
    asio::io_context io;
    std::optional<beast::tcp_stream> stream;
    beast::flat_buffer buffer;
    bool connected = false;
};

HttpCaller::HttpCaller(const Endpoint& server, std::chrono::milliseconds patience)
    : m_rep(std::make_unique<Rep>(server, patience))
{
}

HttpCaller::~HttpCaller() = default;

std::optional<CallerReply> HttpCaller::send(const CallerRequest& request)
{
    if (!m_rep->connect())
        return std::nullopt;
    if (!m_rep->write(request)) {
        m_rep->disconnect();
        return std::nullopt;
    }
    auto reply = m_rep->read(request.method);
    if (!reply)
        m_rep->disconnect();
    return reply;
}

std::string HttpCaller::sendRaw(const std::string& bytes, int quietMs)
{
    std::string received;
    if (!m_rep->connect())
        return received;
    error_code error;
    asio::write(m_rep->stream->socket(), asio::buffer(bytes), error);
    while (!error) {
        std::string part(4096, '\0');
        std::size_t count = 0;
        m_rep->stream->expires_after(std::chrono::milliseconds(quietMs));
        m_rep->stream->async_read_some(asio::buffer(part), [&](error_code result, std::size_t read) {
            error = result;
            count = read;
        });
        m_rep->io.restart();
        m_rep->io.run();
        received.append(part, 0, count);
    }
    m_rep->disconnect();
    return received;
}

void HttpCaller::close() { m_rep->disconnect(); }

} // namespace tarragonhaven::testing
