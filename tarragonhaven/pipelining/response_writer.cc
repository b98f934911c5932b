#include "tarragonhaven/pipelining/response_writer.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <string_view>
#include <utility>

namespace tarragonhaven {

namespace {

    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    using boost::system::error_code;

    constexpr unsigned httpVersion11 = 11;
    constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

ResponseWriter::ResponseWriter(std::shared_ptr<CallerConnection> connection)
    : m_connection(std::move(connection))
{
}

void ResponseWriter::begin()
{
    m_busy = true;
    m_connection->stream.expires_after(m_connection->options.progress.responseTimeout);
}

void ResponseWriter::finish(error_code error, const Handler& handler)
{
    m_busy = false;
    m_connection->memory->remove(std::exchange(m_countedBytes, 0));
    m_chunk = {};
    if (!m_connection->closed)
        handler(!error);
}

void ResponseWriter::writeHead(const ResponseHead& head, const AddedFields& added, Handler handler)
{
    begin();
    m_serializer.reset();
    m_response.emplace();
    m_response->version(httpVersion11);
    m_response->result(static_cast<unsigned>(head.status));
    for (const auto& field : head.fields)
        m_response->insert(field.name, field.value);
    m_response->set("Tarragonhaven-Request", added.requestId);
    if (!added.nextIdempotencyKey.empty())
        m_response->set("Tarragonhaven-Next-Idempotency-Key", added.nextIdempotencyKey);
    if (head.contentLength >= 0)
        m_response->content_length(static_cast<std::uint64_t>(head.contentLength));
    else if (head.hasBody)
        m_response->chunked(true);
    m_response->keep_alive(added.keepAlive);
    m_response->body().data = nullptr;
    m_response->body().more = head.hasBody;
    m_serializer.emplace(*m_response);
    http::async_write_header(m_connection->stream, *m_serializer,
        [self = shared_from_this(), handler = std::move(handler)](
            error_code error, std::size_t) { self->finish(error, handler); });
}

void ResponseWriter::writeChunk(BodyChunk chunk, Handler handler)
{
    begin();
    m_chunk = std::move(chunk);
    m_countedBytes = m_chunk.data.capacity();
    m_connection->memory->add(m_countedBytes);
    auto& body = m_response->body();
    body.data = m_chunk.data.empty() ? nullptr : m_chunk.data.data();
    body.size = m_chunk.data.size();
    body.more = !m_chunk.last;
    http::async_write(m_connection->stream, *m_serializer,
        [self = shared_from_this(), handler = std::move(handler)](error_code error, std::size_t) {
            if (error == http::error::need_buffer)
                error = {};
            self->finish(error, handler);
        });
}

void ResponseWriter::writeRefusal(Refused response, Handler handler)
{
    begin();
    m_refusal = std::move(response);
    http::async_write(m_connection->stream, *m_refusal,
        [self = shared_from_this(), handler = std::move(handler)](error_code error, std::size_t) {
            self->m_refusal.reset();
            self->finish(error, handler);
        });
}

void ResponseWriter::writeContinue(Handler handler)
{
    begin();
    asio::async_write(m_connection->stream, asio::buffer(continueResponse),
        [self = shared_from_this(), handler = std::move(handler)](
            error_code error, std::size_t) { self->finish(error, handler); });
}

} // namespace tarragonhaven
