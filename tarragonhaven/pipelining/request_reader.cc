#include "tarragonhaven/pipelining/request_reader.h"

#include "tarragonhaven/pipelining/peer_close.h"

#include <algorithm>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

namespace tarragonhaven {

namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = beast::http;
    using boost::system::error_code;

    // Added to the declared idle and head timeouts, so that a request that is sent just before the timeout is
    // still accepted.
    constexpr util::Duration timeoutMargin = std::chrono::milliseconds(500);
    // A caller's close must be detected within half a second.
    constexpr util::Duration closeCheckInterval = std::chrono::milliseconds(200);
    constexpr std::size_t readAheadBytes = 4096;
    // What the buffer may hold beyond a request head of the maximum size: pipelined requests, and chunk
    // extensions and trailer fields, for which the parser has no limit of its own.
    constexpr std::size_t bufferReserveBytes = 64 * 1024;

} // namespace

RequestReader::RequestReader(std::shared_ptr<CallerConnection> connection, std::weak_ptr<Listener> listener)
    : m_connection(std::move(connection))
    , m_listener(std::move(listener))
    , m_bodyReader(m_connection->stream, m_buffer)
    , m_timer(m_connection->stream.get_executor())
    , m_bodyProgress(m_connection->options.progress)
{
    error_code ignored;
    m_connection->stream.socket().non_blocking(true, ignored);
    beginMessage();
}

RequestReader::~RequestReader() { m_connection->memory->remove(m_countedBytes); }

void RequestReader::updateMemory()
{
    const auto bytes = m_buffer.capacity() + m_bodyReader.heldBytes();
    if (bytes > m_countedBytes)
        m_connection->memory->add(bytes - m_countedBytes);
    else
        m_connection->memory->remove(m_countedBytes - bytes);
    m_countedBytes = bytes;
}

void RequestReader::beginMessage()
{
    const auto& limits = m_connection->entry.callerLimits();
    m_parser.emplace();
    m_parser->header_limit(limits.headBytes);
    m_parser->body_limit(limits.bodyBytes);
    m_parser->limitFields(m_connection->options.heads);
    m_buffer.max_size(std::max(limits.headBytes + bufferReserveBytes, m_buffer.size()));
    m_needsBytes = m_buffer.size() == 0;
    m_bodyProgress = BodyProgress(m_connection->options.progress);
    m_bodyTimedOut = false;
}

void RequestReader::proceed(bool mayReadHead, bool requestsBefore)
{
    if (m_ended || m_connection->closed)
        return;
    m_mayReadHead = mayReadHead;
    m_requestsBefore = requestsBefore;
    if (!m_bodyRemaining) {
        if (m_parser->is_header_done() && mayReadHead)
            beginMessage();
        if (mayReadHead && !m_needsBytes)
            return parseHead();
        if (m_buffer.size() == 0)
            m_bodyReader.release();
        if (mayReadHead || !m_bytesUnread)
            awaitBytes();
    }
    updateTimer();
}

void RequestReader::parseHead()
{
    error_code error;
    while (!m_parser->is_header_done() && !error && m_buffer.size() > 0)
        m_buffer.consume(m_parser->put(m_buffer.data(), error));
    if (error && error != http::error::need_more)
        return onHeadFailed(error);
    if (!m_parser->is_header_done()) {
        m_needsBytes = true;
        awaitBytes();
        return updateTimer();
    }
    m_bodyRemaining = !m_parser->is_done();
    setTimer(TimerUse::None);
    if (const auto listener = m_listener.lock())
        listener->onHead(
            toReceivedHead(m_parser->get(), m_parser->keep_alive(), m_bodyRemaining, contentLength()));
}

std::int64_t RequestReader::contentLength() const
{
    const auto length = m_parser->content_length();
    return length ? static_cast<std::int64_t>(*length) : -1;
}

bool RequestReader::mayReceiveMore() const
{
    error_code error;
    return m_bodyRemaining || m_buffer.size() > 0 || m_connection->stream.socket().available(error) > 0;
}

RequestHead RequestReader::latestHead() const
{
    return toRequestHead(m_parser->get(), m_bodyRemaining, contentLength());
}

bool RequestReader::isConnectionLost(error_code error)
{
    return error == http::error::end_of_stream || error == beast::error::timeout
        || error == http::error::partial_message || error.category() == asio::error::get_system_category();
}

void RequestReader::onHeadFailed(error_code error)
{
    setTimer(TimerUse::None);
    const auto reason = error == http::error::header_limit ? RefusalReason::HeaderTooLarge
        : error == http::error::body_limit                 ? RefusalReason::BodyTooLarge
                                                           : RefusalReason::MalformedRequest;
    ReceivedHead received;
    received.keepAlive = false;
    received.head.method = m_parser->get().method() == http::verb::head ? "HEAD" : "";
    received.refusal = Refusal { reason, RunState::NotRun, util::Duration {}, error.message() };
    if (const auto listener = m_listener.lock())
        listener->onHead(std::move(received));
}

void RequestReader::awaitBytes()
{
    if (std::exchange(m_awaitingBytes, true))
        return;
    m_connection->stream.socket().async_wait(
        asio::ip::tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
            self->m_awaitingBytes = false;
            if (!error && !self->m_ended && !self->m_connection->closed)
                self->onBytes();
        });
}

void RequestReader::onBytes()
{
    // The reader of the body takes them.
    if (m_bodyRemaining)
        return;
    if (m_mayReadHead)
        return receive();
    if (isClosedByPeer(m_connection->stream.socket()))
        return endReading(CloseReason::Disconnected);
    m_bytesUnread = true;
    updateTimer();
}

void RequestReader::receive()
{
    const auto room = std::min(std::max(readAheadBytes, m_buffer.capacity() - m_buffer.size()),
        m_buffer.max_size() - m_buffer.size());
    if (room == 0)
        return onHeadFailed(http::error::buffer_overflow);
    error_code error;
    const auto count = m_connection->stream.socket().read_some(m_buffer.prepare(room), error);
    m_bytesUnread = false;
    if (error == asio::error::would_block || error == asio::error::try_again)
        return awaitBytes();
    if (error)
        return endReading(CloseReason::Disconnected);
    m_buffer.commit(count);
    m_needsBytes = false;
    parseHead();
}

void RequestReader::readBody(BodyHandler handler)
{
    // The timer of the reader applies instead. Writing sets its own time limit.
    m_connection->stream.expires_never();
    m_readingBody = true;
    m_bytesUnread = false;
    setTimer(TimerUse::None);
    updateTimer();
    m_bodyReader.read(*m_parser,
        [self = shared_from_this(), handler = std::move(handler)](error_code error, BodyChunk chunk) {
            self->m_readingBody = false;
            if (self->m_connection->closed)
                return;
            self->setTimer(TimerUse::None);
            self->m_bodyProgress.recordBytes(chunk.data.size());
            if (!error && chunk.last) {
                self->m_bodyRemaining = false;
                self->m_bodyReader.release();
            }
            handler(error, std::move(chunk));
        });
    updateMemory();
}

void RequestReader::endReading(CloseReason reason)
{
    m_ended = true;
    setTimer(TimerUse::None);
    if (const auto listener = m_listener.lock())
        listener->onReadingEnded(reason);
}

void RequestReader::updateTimer()
{
    updateMemory();
    if (m_bodyRemaining) {
        if (m_readingBody)
            return setTimer(m_requestsBefore || m_bodyTimedOut ? TimerUse::None : TimerUse::Body);
        return setTimer(m_requestsBefore ? TimerUse::CloseCheck : TimerUse::None);
    }
    if (!m_mayReadHead)
        return setTimer(m_bytesUnread ? TimerUse::CloseCheck : TimerUse::None);
    if (m_requestsBefore)
        return setTimer(TimerUse::None);
    setTimer(m_buffer.size() > 0 ? TimerUse::Head : TimerUse::Idle);
}

void RequestReader::setTimer(TimerUse use)
{
    if (m_timerUse == use)
        return;
    const auto now = util::BootClock::now();
    if (m_timerUse == TimerUse::Body)
        m_bodyProgress.recordWait(now - m_bodyWaitSince);
    m_timerUse = use;
    ++m_timerNumber;
    const auto& limits = m_connection->entry.callerLimits();
    switch (use) {
    case TimerUse::None:
        m_timer.cancel();
        return;
    case TimerUse::Idle:
        m_timer.expires_after(limits.idleTimeout + timeoutMargin);
        break;
    case TimerUse::Head:
        m_timer.expires_after(limits.headTimeout + timeoutMargin);
        break;
    case TimerUse::Body:
        m_bodyWaitSince = now;
        m_timer.expires_after(m_bodyProgress.remaining());
        break;
    case TimerUse::CloseCheck:
        m_timer.expires_after(closeCheckInterval);
        break;
    }
    m_timer.async_wait([weak = weak_from_this(), number = m_timerNumber](error_code error) {
        const auto self = weak.lock();
        if (!error && self && number == self->m_timerNumber && !self->m_connection->closed)
            self->onTimer();
    });
}

void RequestReader::onTimer()
{
    switch (std::exchange(m_timerUse, TimerUse::None)) {
    case TimerUse::None:
        return;
    case TimerUse::Idle:
        return endReading(CloseReason::IdleTimeout);
    case TimerUse::Head:
        return endReading(CloseReason::HeadTimeout);
    case TimerUse::Body:
        m_bodyTimedOut = true;
        if (const auto listener = m_listener.lock())
            listener->onBodyTimeout();
        return;
    case TimerUse::CloseCheck:
        if (isClosedByPeer(m_connection->stream.socket()))
            return endReading(CloseReason::Disconnected);
        return updateTimer();
    }
}

} // namespace tarragonhaven
