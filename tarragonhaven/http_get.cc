#include "tarragonhaven/http_get.h"

#include "tarragonhaven/message_parser.h"
#include "tarragonhaven/socket_options.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>

namespace tarragonhaven {

namespace {

    namespace beast = boost::beast;
    namespace http = beast::http;
    using boost::system::error_code;
    using tcp = boost::asio::ip::tcp;

    // Holds a page of 1 MB, and a last value of 1 MB that exceeds it, both encoded as base64.
    constexpr std::uint64_t bodyLimitBytes = 4'000'000;
    // The limit of received bytes that the parser has not consumed, such as chunk extensions and trailer
    // fields, for which it has no limit of its own.
    constexpr std::size_t bufferLimitBytes = 128 * 1024;
    constexpr unsigned httpVersion11 = 11;

    class HttpGet : public std::enable_shared_from_this<HttpGet> {
    public:
        HttpGet(boost::asio::io_context& io, PlatformResponseHandler handler)
            : m_stream(io)
            , m_handler(std::move(handler))
        {
        }

        void start(const Endpoint& server, const std::string& target, GetTimeouts timeouts)
        {
            m_request.version(httpVersion11);
            m_request.method(http::verb::get);
            m_request.target(target);
            m_request.set(http::field::host, toString(server));
            m_request.keep_alive(false);
            m_parser.body_limit(bodyLimitBytes);
            m_stream.expires_after(std::min(timeouts.connect, timeouts.total));
            const tcp::endpoint address(boost::asio::ip::make_address(server.address), server.port);
            m_stream.async_connect(address, [self = shared_from_this(), timeouts](error_code error) {
                if (error)
                    return self->fail(GetFailure::Unreachable);
                setPeerTimeout(self->m_stream.socket(), timeouts.peerTimeout);
                self->m_stream.expires_after(timeouts.total);
                self->send();
            });
        }

    private:
        void send()
        {
            http::async_write(
                m_stream, m_request, [self = shared_from_this()](error_code error, std::size_t) {
                    error ? self->fail(failureOf(error)) : self->receive();
                });
        }

        // Reads the head by itself, because Beast checks a stated length against the limit only then: if the
        // body is parsed in the same call, the error is lost.
        void receive()
        {
            http::async_read_header(
                m_stream, m_buffer, m_parser, [self = shared_from_this()](error_code error, std::size_t) {
                    error ? self->fail(failureOf(error)) : self->receiveBody();
                });
        }

        void receiveBody()
        {
            http::async_read(
                m_stream, m_buffer, m_parser, [self = shared_from_this()](error_code error, std::size_t) {
                    error ? self->fail(failureOf(error)) : self->finish();
                });
        }

        static GetFailure failureOf(error_code error)
        {
            const bool timedOut = error == beast::error::timeout || error == boost::asio::error::timed_out;
            return timedOut                        ? GetFailure::TimedOut
                : error == http::error::body_limit ? GetFailure::TooLarge
                                                   : GetFailure::Broken;
        }

        void fail(GetFailure failure) { m_handler(tl::unexpected(failure)); }

        void finish()
        {
            auto message = m_parser.release();
            PlatformResponse response;
            response.status = static_cast<int>(message.result_int());
            const std::string revision(message["Revision"]);
            if (!absl::SimpleAtoi(revision, &response.revision))
                response.revision = 0;
            for (const auto& field : message)
                response.fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
            response.body = std::move(message.body());
            m_handler(std::move(response));
        }

        beast::tcp_stream m_stream;
        PlatformResponseHandler m_handler;
        http::request<http::empty_body> m_request;
        MessageParser<false, http::string_body> m_parser;
        beast::flat_buffer m_buffer { bufferLimitBytes };
    };

} // namespace

const char* toString(GetFailure failure)
{
    switch (failure) {
    case GetFailure::Unreachable:
        return "no connection";
    case GetFailure::TimedOut:
        return "no complete response in time";
    case GetFailure::TooLarge:
        return "the response exceeds 4,000,000 bytes";
    case GetFailure::Broken:
        return "the connection ended before a complete response";
    }
    return "";
}

void httpGet(boost::asio::io_context& io, const Endpoint& server, const std::string& target,
    GetTimeouts timeouts, PlatformResponseHandler handler)
{
    std::make_shared<HttpGet>(io, std::move(handler))->start(server, target, timeouts);
}

} // namespace tarragonhaven
