// Uses one Beast parser and serializer per request. The deadline of a request bounds the wait for the head of
// its response; after that, each chunk has its own idle timeout, so that a long download is not cut while
// data arrives. Every failure after the first byte of a request was passed to the socket counts as "may have
// run", since the kernel may have sent it.

#include "tarragonhaven/target_connection.h"

#include "tarragonhaven/body_reader.h"
#include "tarragonhaven/http_fields.h"
#include "tarragonhaven/message_parser.h"
#include "tarragonhaven/response_head.h"
#include "tarragonhaven/socket_options.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <limits>
#include <optional>

namespace tarragonhaven {

namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = beast::http;
    using boost::system::error_code;
    using tcp = asio::ip::tcp;

    constexpr util::Duration bodyIdleTimeout = std::chrono::seconds(30);
    constexpr std::uint32_t headLimitBytes = 64 * 1024;
    // The limit of received bytes that the parser has not consumed. Chunk extensions and trailer fields, for
    // which the parser has no limit of its own, stay in the buffer until they are complete.
    constexpr std::size_t bufferLimitBytes = 2 * headLimitBytes;
    // Interim responses that are skipped before the connection is given up.
    constexpr int maximumInterimResponses = 16;
    // Margin before the target closes an idle connection. Covers the time that a request takes to reach the
    // target.
    constexpr util::Duration idleMargin = std::chrono::milliseconds(500);
    constexpr util::Duration defaultMaximumIdleTime = std::chrono::seconds(30);
    // Responses to other requests that are skipped before the connection is given up.
    constexpr int maximumMismatchedResponses = 3;
    constexpr unsigned httpVersion11 = 11;
    // Bodies are streamed in chunks; their length is not bounded.
    constexpr std::uint64_t noBodyLimit = std::numeric_limits<std::uint64_t>::max();

    Refusal makeRefusal(RefusalReason reason, RunState run, const std::string& detail)
    {
        return { reason, run, util::Duration {}, detail };
    }

} // namespace

class TargetConnection::Rep : public std::enable_shared_from_this<TargetConnection::Rep> {
public:
    Rep(asio::io_context& io, TargetConnectionOptions options)
        : m_stream(io)
        , m_options(std::move(options))
    {
    }

    void connect(const Endpoint& endpoint, util::Duration timeout, OutcomeHandler<void> handler)
    {
        m_host = toString(endpoint);
        m_stream.expires_after(timeout);
        const tcp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
        m_stream.async_connect(
            address, [self = shared_from_this(), handler = std::move(handler)](error_code error) {
                if (self->m_closed)
                    return;
                if (error)
                    return handler(tl::unexpected(
                        makeRefusal(RefusalReason::TargetUnreachable, RunState::NotRun, error.message())));
                self->m_stream.socket().set_option(tcp::no_delay(true), error);
                if (self->m_options.unresponsiveTimeout > util::Duration {})
                    setPeerTimeout(self->m_stream.socket(), self->m_options.unresponsiveTimeout);
                handler({});
            });
    }

    void beginRequest(
        const RequestHead& head, const std::string& requestId, util::Time deadline, bool deadlineCoversBody)
    {
        m_requestId = requestId;
        m_mismatchedResponses = 0;
        m_interimResponses = 0;
        m_deadline = deadline;
        m_deadlineCoversBody = deadlineCoversBody;
        m_headWritten = false;
        m_responseComplete = false;
        m_requestSent = false;
        m_chunked = head.hasBody && head.contentLength < 0;
        m_isHead = head.method == "HEAD";
        m_request.emplace();
        m_request->version(httpVersion11);
        m_request->method_string(head.method);
        m_request->target(head.target);
        m_request->set(http::field::host, head.host.empty() ? m_host : head.host);
        for (const auto& field : head.fields)
            m_request->insert(field.name, field.value);
        if (m_chunked)
            m_request->chunked(true);
        else if (head.hasBody)
            m_request->content_length(static_cast<std::uint64_t>(head.contentLength));
        m_request->body().data = nullptr;
        m_request->body().more = true;
        m_serializer.emplace(*m_request);
        resetParser();
        m_hasBody = head.hasBody;
    }

    void writeBody(BodyChunk chunk, OutcomeHandler<void> handler)
    {
        m_chunk = std::move(chunk);
        m_stream.expires_after(m_headWritten ? bodyTimeout() : timeUntilDeadline());
        if (m_headWritten)
            return writeChunk(std::move(handler));
        m_headWritten = true;
        http::async_write_header(m_stream, *m_serializer,
            [self = shared_from_this(), handler = std::move(handler)](error_code error, std::size_t) {
                if (self->m_closed)
                    return;
                if (error)
                    return handler(tl::unexpected(
                        makeRefusal(RefusalReason::TargetFailed, RunState::Unknown, error.message())));
                if (!self->m_hasBody) {
                    self->m_requestSent = true;
                    return handler({});
                }
                self->writeChunk(handler);
            });
    }

    void readHead(OutcomeHandler<ResponseHead> handler)
    {
        if (deadlinePassed())
            return failLater<ResponseHead>("no response head before the deadline", std::move(handler));
        m_stream.expires_after(timeUntilDeadline());
        http::async_read_header(m_stream, m_buffer, *m_parser,
            [self = shared_from_this(), handler = std::move(handler)](error_code error, std::size_t) {
                if (self->m_closed)
                    return;
                self->onHeadRead(error, handler);
            });
    }

    void readBody(OutcomeHandler<BodyChunk> handler)
    {
        if (m_deadlineCoversBody && deadlinePassed())
            return failLater<BodyChunk>("no end of the response before the deadline", std::move(handler));
        m_stream.expires_after(bodyTimeout());
        m_bodyReader.read(*m_parser,
            [self = shared_from_this(), handler = std::move(handler)](error_code error, BodyChunk chunk) {
                if (!self->m_closed)
                    self->onBodyRead(error, std::move(chunk), handler);
            });
    }

    void close()
    {
        m_closed = true;
        error_code ignored;
        m_stream.socket().close(ignored);
    }

    [[nodiscard]] bool hasEarlierResponses() const { return m_responses > 1; }

    // Bytes after the response, or a request that was not sent completely, would corrupt the next exchange.
    [[nodiscard]] bool reusable() const
    {
        const bool clean = m_requestSent && m_buffer.size() == 0;
        return !m_closed && m_responseComplete && clean && m_parser->get().keep_alive();
    }

    bool stillOpen()
    {
        if (m_closed)
            return false;
        auto& socket = m_stream.socket();
        error_code error;
        socket.non_blocking(true, error);
        char byte = 0;
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error == asio::error::would_block;
    }

    [[nodiscard]] util::Time idleSince() const { return m_idleSince; }
    [[nodiscard]] util::Duration maximumIdleTime() const { return m_maximumIdleTime; }

private:
    using Parser = MessageParser<false, http::buffer_body>;

    void resetParser()
    {
        m_parser.emplace();
        m_parser->header_limit(headLimitBytes);
        m_parser->body_limit(noBodyLimit);
        m_parser->skip(m_isHead);
    }

    [[nodiscard]] util::Duration bodyTimeout() const
    {
        return m_deadlineCoversBody ? std::min<util::Duration>(bodyIdleTimeout, timeUntilDeadline())
                                    : bodyIdleTimeout;
    }

    // The timeout of a read does not expire while bytes keep arriving, so a response without an end would be
    // read for ever.
    [[nodiscard]] bool deadlinePassed() const { return util::BootClock::now() >= m_deadline; }

    template <typename T> void failLater(const char* detail, OutcomeHandler<T> handler)
    {
        const auto refusal = makeRefusal(RefusalReason::TargetTimeout, RunState::Unknown, detail);
        asio::post(
            m_stream.get_executor(), [self = shared_from_this(), refusal, handler = std::move(handler)] {
                if (!self->m_closed)
                    handler(tl::unexpected(refusal));
            });
    }

    [[nodiscard]] util::Duration timeUntilDeadline() const
    {
        return std::max<util::Duration>(m_deadline - util::BootClock::now(), std::chrono::milliseconds(1));
    }

    void writeChunk(OutcomeHandler<void> handler)
    {
        auto& body = m_request->body();
        body.data = m_chunk.data.empty() ? nullptr : m_chunk.data.data();
        body.size = m_chunk.data.size();
        body.more = !m_chunk.last;
        http::async_write(m_stream, *m_serializer,
            [self = shared_from_this(), handler = std::move(handler)](error_code error, std::size_t) {
                if (self->m_closed)
                    return;
                if (error == http::error::need_buffer)
                    error = {};
                if (error)
                    return handler(tl::unexpected(
                        makeRefusal(RefusalReason::TargetFailed, RunState::Unknown, error.message())));
                self->m_requestSent = self->m_chunk.last;
                handler({});
            });
    }

    void onHeadRead(error_code error, const OutcomeHandler<ResponseHead>& handler)
    {
        if (error == beast::error::timeout)
            return handler(tl::unexpected(makeRefusal(
                RefusalReason::TargetTimeout, RunState::Unknown, "no response head before the deadline")));
        if (error)
            return handler(
                tl::unexpected(makeRefusal(RefusalReason::TargetFailed, RunState::Unknown, error.message())));
        const auto& message = m_parser->get();
        if (message.result_int() < 200)
            return skipInterimResponse(handler);
        ++m_responses;
        ResponseHead head = toHead();
        if (isMismatched(head))
            return skipMismatchedResponse(head, handler);
        if (const auto time = keepAliveTime(message.base()))
            m_maximumIdleTime = std::max<util::Duration>(*time - idleMargin, {});
        const bool unframed = head.hasBody && !m_parser->chunked() && !m_parser->content_length();
        if (unframed && !m_options.allowUnframedResponses)
            return handler(tl::unexpected(makeRefusal(RefusalReason::TargetBadFraming, RunState::Unknown,
                "response has neither Content-Length nor chunked encoding")));
        // A failed write takes the error of a connection that was reset, so that reading ends as if the
        // target had closed it: a response that was cut off could not be distinguished from a complete one.
        if (unframed && !m_requestSent)
            return handler(tl::unexpected(makeRefusal(RefusalReason::TargetBadFraming, RunState::Unknown,
                "response without a length to a request that could not be sent completely")));
        if (!head.hasBody)
            finishResponse();
        handler(std::move(head));
    }

    // Skips a response with a status from 100 to 199.
    void skipInterimResponse(const OutcomeHandler<ResponseHead>& handler)
    {
        if (++m_interimResponses > maximumInterimResponses)
            return handler(tl::unexpected(makeRefusal(
                RefusalReason::TargetBadFraming, RunState::Unknown, "received too many interim responses")));
        readNextHead(handler);
    }

    void readNextHead(const OutcomeHandler<ResponseHead>& handler)
    {
        resetParser();
        readHead(handler);
    }

    [[nodiscard]] bool isMismatched(const ResponseHead& head) const
    {
        if (m_options.requestIdField.empty())
            return false;
        const auto id = fieldValue(head.fields, m_options.requestIdField);
        return !id.empty() && id != m_requestId;
    }

    // Reads a response to another request to its end and waits for the next response.
    void skipMismatchedResponse(const ResponseHead& head, const OutcomeHandler<ResponseHead>& handler)
    {
        const bool framed = !head.hasBody || m_parser->chunked() || m_parser->content_length();
        if (!framed || ++m_mismatchedResponses > maximumMismatchedResponses)
            return handler(tl::unexpected(makeRefusal(RefusalReason::TargetBadFraming, RunState::Unknown,
                "received responses to other requests instead")));
        if (!head.hasBody)
            return readNextHead(handler);
        readBody([self = shared_from_this(), head, handler](Outcome<BodyChunk> chunk) {
            if (!chunk)
                return handler(tl::unexpected(chunk.error()));
            self->m_responseComplete = false;
            if (chunk->last)
                return self->readNextHead(handler);
            --self->m_mismatchedResponses;
            self->skipMismatchedResponse(head, handler);
        });
    }

    ResponseHead toHead()
    {
        const auto length = m_parser->content_length();
        return toResponseHead(m_parser->get().base(),
            { m_parser->chunked(), length ? std::optional<std::uint64_t>(*length) : std::nullopt, m_isHead });
    }

    void onBodyRead(error_code error, BodyChunk chunk, const OutcomeHandler<BodyChunk>& handler)
    {
        if (error == beast::error::timeout)
            return handler(tl::unexpected(makeRefusal(RefusalReason::TargetTimeout, RunState::Unknown,
                "timed out while reading the response body")));
        if (error)
            return handler(tl::unexpected(makeRefusal(RefusalReason::TargetFailed, RunState::Unknown,
                "response body was cut off: " + error.message())));
        if (chunk.last)
            finishResponse();
        handler(std::move(chunk));
    }

    void finishResponse()
    {
        m_responseComplete = true;
        m_bodyReader.release();
        m_idleSince = util::BootClock::now();
        m_stream.expires_never();
    }

    beast::tcp_stream m_stream;
    TargetConnectionOptions m_options;
    beast::flat_buffer m_buffer { bufferLimitBytes };
    BodyReader m_bodyReader { m_stream, m_buffer };
    std::string m_requestId;
    int m_mismatchedResponses = 0;
    int m_interimResponses = 0;
    // The number of response heads read, interim ones not counted.
    int m_responses = 0;
    bool m_deadlineCoversBody = false;
    util::Duration m_maximumIdleTime = defaultMaximumIdleTime;
    std::string m_host;
    std::optional<http::request<http::buffer_body>> m_request;
    std::optional<http::request_serializer<http::buffer_body>> m_serializer;
    std::optional<Parser> m_parser;
    BodyChunk m_chunk;
    util::Time m_deadline {};
    util::Time m_idleSince {};
    bool m_headWritten = false;
    bool m_hasBody = false;
    bool m_chunked = false;
    bool m_isHead = false;
    bool m_responseComplete = false;
    bool m_requestSent = false;
    bool m_closed = false;
};

TargetConnection::TargetConnection(asio::io_context& io, TargetConnectionOptions options)
    : m_rep(std::make_shared<Rep>(io, std::move(options)))
{
}

TargetConnection::~TargetConnection() { m_rep->close(); }

void TargetConnection::connect(const Endpoint& endpoint, util::Duration timeout, OutcomeHandler<void> handler)
{
    m_rep->connect(endpoint, timeout, std::move(handler));
}

void TargetConnection::beginRequest(
    const RequestHead& head, const std::string& requestId, util::Time deadline, bool deadlineCoversBody)
{
    m_rep->beginRequest(head, requestId, deadline, deadlineCoversBody);
}

void TargetConnection::writeBody(BodyChunk chunk, OutcomeHandler<void> handler)
{
    m_rep->writeBody(std::move(chunk), std::move(handler));
}

void TargetConnection::readHead(OutcomeHandler<ResponseHead> handler) { m_rep->readHead(std::move(handler)); }

void TargetConnection::readBody(OutcomeHandler<BodyChunk> handler) { m_rep->readBody(std::move(handler)); }

void TargetConnection::close() { m_rep->close(); }

bool TargetConnection::hasEarlierResponses() const { return m_rep->hasEarlierResponses(); }

bool TargetConnection::reusable() const { return m_rep->reusable(); }

bool TargetConnection::stillOpen() { return m_rep->stillOpen(); }

util::Time TargetConnection::idleSince() const { return m_rep->idleSince(); }

util::Duration TargetConnection::maximumIdleTime() const { return m_rep->maximumIdleTime(); }

} // namespace tarragonhaven
