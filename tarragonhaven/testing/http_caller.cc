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

std::string CallerResponse::field(const std::string& name) const
{
    return std::string(fieldValue(fields, name));
}

class HttpCaller::Rep {
public:
    Rep(const Endpoint& serverAddress, std::chrono::milliseconds timeout)
        : server(serverAddress)
        , responseTimeout(timeout)
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

    bool write(const CallerRequest& callerRequest)
    {
        http::request<http::string_body> request;
        request.version(11);
        request.method_string(callerRequest.method);
        request.target(callerRequest.target);
        request.set(http::field::host, toString(server));
        for (const auto& field : callerRequest.fields) {
            if (sameFieldName(field.name, "Host"))
                request.set(http::field::host, field.value);
            else
                request.insert(field.name, field.value);
        }
        request.body() = callerRequest.body;
        request.prepare_payload();
        error_code error;
        http::write(*stream, request, error);
        return !error;
    }

    std::optional<CallerResponse> read(const std::string& method)
    {
        http::response_parser<http::string_body> parser;
        parser.body_limit(bodyLimitBytes);
        if (method == "HEAD")
            parser.skip(true);
        error_code error;
        runOperation([&](auto handler) { http::async_read_header(*stream, buffer, parser, handler); }, error);
        if (error)
            return std::nullopt;
        if (!parser.is_done())
            runOperation([&](auto handler) { http::async_read(*stream, buffer, parser, handler); }, error);
        CallerResponse response;
        response.complete = !error;
        response.status = static_cast<int>(parser.get().result_int());
        for (const auto& field : parser.get())
            response.fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
        response.body = parser.get().body();
        if (error || !parser.get().keep_alive())
            disconnect();
        return response;
    }

    // Starts an asynchronous operation and waits until it completes or the response timeout expires, because
    // only asynchronous operations of a Beast stream time out.
    template <typename Start> void runOperation(Start startOperation, error_code& result)
    {
        stream->expires_after(responseTimeout);
        startOperation([&result](error_code error, std::size_t) { result = error; });
        io.restart();
        io.run();
    }

    Endpoint server;
    std::chrono::milliseconds responseTimeout;
    asio::io_context io;
    std::optional<beast::tcp_stream> stream;
    beast::flat_buffer buffer;
    bool connected = false;
};

HttpCaller::HttpCaller(const Endpoint& server, std::chrono::milliseconds responseTimeout)
    : m_rep(std::make_unique<Rep>(server, responseTimeout))
{
}

HttpCaller::~HttpCaller() = default;

std::optional<CallerResponse> HttpCaller::send(const CallerRequest& request)
{
    if (!m_rep->connect())
        return std::nullopt;
    if (!m_rep->write(request)) {
        m_rep->disconnect();
        return std::nullopt;
    }
    auto response = m_rep->read(request.method);
    if (!response)
        m_rep->disconnect();
    return response;
}

std::vector<CallerResponse> HttpCaller::sendAhead(const std::vector<CallerRequest>& requests)
{
    std::vector<CallerResponse> responses;
    if (!m_rep->connect())
        return responses;
    // The node may have closed the connection after an earlier request, whose response can still be read.
    for (const auto& request : requests) {
        if (!m_rep->write(request))
            break;
    }
    for (const auto& request : requests) {
        auto response = m_rep->connected ? m_rep->read(request.method) : std::nullopt;
        if (!response) {
            m_rep->disconnect();
            break;
        }
        responses.push_back(std::move(*response));
    }
    return responses;
}

std::string HttpCaller::sendRaw(const std::string& bytes, int readTimeoutMs)
{
    std::string received;
    if (!m_rep->connect())
        return received;
    error_code error;
    asio::write(m_rep->stream->socket(), asio::buffer(bytes), error);
    while (!error) {
        std::string chunk(4096, '\0');
        std::size_t bytesRead = 0;
        m_rep->stream->expires_after(std::chrono::milliseconds(readTimeoutMs));
        m_rep->stream->async_read_some(asio::buffer(chunk), [&](error_code result, std::size_t transferred) {
            error = result;
            bytesRead = transferred;
        });
        m_rep->io.restart();
        m_rep->io.run();
        received.append(chunk, 0, bytesRead);
    }
    m_rep->disconnect();
    return received;
}

void HttpCaller::close() { m_rep->disconnect(); }

} // namespace tarragonhaven::testing
