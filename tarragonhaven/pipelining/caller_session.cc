#include "tarragonhaven/pipelining/caller_session.h"

#include "tarragonhaven/memory/head_cost.h"

#include <algorithm>
#include <utility>

namespace tarragonhaven {

namespace {

    using boost::system::error_code;
    using tcp = boost::asio::ip::tcp;

    // The memory for bodies that is left to requests at the front of their connections: nothing is read or
    // held ahead while less than half of what Entry allows is free.
    constexpr std::size_t reservedForFrontBytes = 12 * 1024 * 1024;
    // Large responses leave a connection this number of requests that are started ahead.
    constexpr std::size_t maximumResponseDivisor = 4;
    // What a connection takes beside its buffers.
    constexpr std::size_t connectionBytes = sizeof(CallerSession) + sizeof(CallerConnection)
        + sizeof(RequestReader) + sizeof(ResponseWriter) + 1024;
    // What a request takes beside its head.
    constexpr std::size_t requestBytes = sizeof(CallerRequest) + 2048;

} // namespace

CallerSession::CallerSession(Entry& entry, tcp::socket socket, std::unique_ptr<TrackedConnection> tracked,
    const CallerSessionOptions& options, const std::shared_ptr<MemoryAccount>& account,
    AheadBudget& aheadBudget, EndHandler onEnd)
    : m_connection(
        std::make_shared<CallerConnection>(entry, std::move(socket), std::move(tracked), options, account))
    , m_aheadBudget(aheadBudget)
    , m_onEnd(std::move(onEnd))
    , m_pipeline(options.pipeline.requests)
    , m_responseSize(options.pipeline.heldBytes / maximumResponseDivisor)
    , m_maximumHeldBytes(options.pipeline.heldBytes)
{
}

CallerSession::~CallerSession() = default;

void CallerSession::start()
{
    error_code ignored;
    m_connection->memory->add(connectionBytes);
    m_connection->stream.socket().set_option(tcp::no_delay(true), ignored);
    m_connection->tracked->onClose([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->closeAtOnce(CloseReason::ClosedForRoom);
    });
    m_reader = std::make_shared<RequestReader>(m_connection, weak_from_this());
    m_writer = std::make_shared<ResponseWriter>(m_connection);
    proceed();
}

void CallerSession::stop(bool closeIfIdle)
{
    m_pipeline.stop();
    if (closeIfIdle && !busy())
        return end(CloseReason::Stopped);
    proceed();
}

void CallerSession::abandonRequests()
{
    const auto requests = m_requests;
    for (const auto& request : requests)
        request->abandon(RefusalReason::Stopping, "the node is stopping");
}

void CallerSession::close() { closeAtOnce(CloseReason::Stopped); }

void CallerSession::closeForMemory() { closeAtOnce(CloseReason::ClosedForMemory); }

void CallerSession::closeAtOnce(CloseReason reason)
{
    if (const auto lingeringClose = m_lingeringClose)
        return lingeringClose->close();
    end(reason);
}

ConnectionUse CallerSession::use() const
{
    const auto& memory = *m_connection->memory;
    return { memory.heldBytes(), memory.organisationBytes(), stage(), m_connection->tracked->stalled() };
}

ConnectionStage CallerSession::stage() const
{
    if (m_requests.empty())
        return m_answered ? ConnectionStage::Idle : ConnectionStage::New;
    const bool awaitsBody = m_reader->readingBody() && m_requests.size() == 1;
    return m_writer->busy() || awaitsBody ? ConnectionStage::Transferring : ConnectionStage::Running;
}

void CallerSession::updateStage() { m_connection->tracked->setStage(stage()); }

void CallerSession::recordProgress()
{
    updateStage();
    m_connection->tracked->recordProgress();
}

bool CallerSession::busy() const { return !m_requests.empty() || m_reader->headBegun() || m_lingeringClose; }

bool CallerSession::mayHoldMore() const
{
    return m_connection->budget->allows(bodyChunkBytes)
        && m_connection->entry.bodyBudget().allows(reservedForFrontBytes);
}

std::size_t CallerSession::reserveAhead(const OrganisationName& organisation)
{
    const auto bytes = m_responseSize.bytes();
    const bool allowed = m_reservedBytes + bytes <= m_maximumHeldBytes && m_connection->budget->allows(bytes)
        && m_aheadBudget.tryAcquire(organisation, bytes);
    auto& metrics = m_connection->entry.dependencies().metrics;
    if (!allowed) {
        metrics.recordAheadDenied();
        return 0;
    }
    metrics.recordAheadStart();
    m_reservedBytes += bytes;
    return bytes;
}

void CallerSession::releaseAhead(const OrganisationName& organisation, std::size_t bytes)
{
    m_reservedBytes -= bytes;
    m_aheadBudget.release(organisation, bytes);
}

bool CallerSession::mayReadHead() const
{
    return m_pipeline.mayRead() && (m_pipeline.empty() || mayHoldMore());
}

void CallerSession::proceed()
{
    if (std::exchange(m_proceeding, true)) {
        m_proceedAgain = true;
        return;
    }
    const auto self = shared_from_this();
    do {
        m_proceedAgain = false;
        if (m_connection->closed)
            break;
        if (m_connection->entry.stopping())
            m_pipeline.stop();
        startRequests();
        if (!m_requests.empty() && !m_writer->busy())
            m_requests.front()->write();
        // A request whose body has not been read completely is the last one.
        const std::size_t beingRead = m_reader->bodyRemaining() ? 1 : 0;
        m_reader->proceed(mayReadHead(), m_pipeline.size() > beingRead);
    } while (m_proceedAgain);
    m_proceeding = false;
    updateStage();
}

void CallerSession::startRequests()
{
    while (const auto number = m_pipeline.takeStartable()) {
        if (const auto request = find(*number))
            request->begin();
    }
}

RequestPipeline::Traits CallerSession::traitsOf(const ReceivedHead& received) const
{
    const bool complete = !received.head.hasBody;
    if (received.refusal)
        return { true, complete };
    const auto* route = m_connection->entry.routeOf(received.head);
    // Without a route it is refused.
    if (!route)
        return { true, complete };
    // A key would remain in use if the request was given up.
    return { route->idempotent && route->idempotencyKeyRule == IdempotencyKeyRule::None, complete };
}

void CallerSession::onHead(ReceivedHead received)
{
    const bool ahead = !m_pipeline.empty();
    const auto number = m_pipeline.add();
    if (!received.keepAlive)
        m_pipeline.endReading();
    const auto traits = ahead ? traitsOf(received) : RequestPipeline::Traits {};
    const bool readsBody
        = traits.idempotent && !traits.complete && !received.refusal && !received.expectsContinue;
    const auto headBytes = requestBytes + headCost(received.head);
    const auto request
        = std::make_shared<CallerRequest>(shared_from_this(), number, std::move(received), headBytes, ahead);
    m_requests.push_back(request);
    m_pipeline.classify(number, traits);
    if (readsBody)
        request->readAhead();
    proceed();
}

void CallerSession::onBodyTimeout()
{
    // A request whose body has not been read completely is the last one.
    if (const auto request = m_requests.empty() ? nullptr : m_requests.back())
        request->onBodyTimeout();
}

void CallerSession::onReadingEnded(CloseReason reason)
{
    if (reason == CloseReason::Disconnected) {
        for (const auto& request : m_requests)
            request->logCallerDisconnected();
    }
    end(reason);
}

void CallerSession::closeAfter(RequestPipeline::Number number)
{
    const auto closing = find(number);
    for (const auto dropped : m_pipeline.closeAfter(number)) {
        const auto request = find(dropped);
        m_connection->entry.dependencies().metrics.recordPipelinedDrop();
        m_connection->entry.dependencies().log.write(LogLevel::Info, "pipeline",
            { { "request", request->requestId() }, { "event", "dropped" },
                { "behind", closing ? closing->requestId() : std::string() } });
        request->cancel();
    }
    while (!m_requests.empty() && m_requests.back()->number() > number)
        m_requests.pop_back();
}

void CallerSession::rejectUnread(RequestPipeline::Number number)
{
    if (m_pipeline.isFront(number))
        return end(CloseReason::BodyRejected);
    closeAfter(number - 1);
    proceed();
}

void CallerSession::onAnswered(bool closeAnnounced)
{
    const auto answered = m_requests.front();
    m_requests.pop_front();
    m_pipeline.finishFront();
    m_answered = true;
    answered->end();
    if (closeAnnounced || m_pipeline.done())
        return end(CloseReason::Announced);
    proceed();
}

std::shared_ptr<CallerRequest> CallerSession::find(RequestPipeline::Number number) const
{
    const auto found = std::find_if(m_requests.begin(), m_requests.end(),
        [number](const auto& request) { return request->number() == number; });
    return found == m_requests.end() ? nullptr : *found;
}

std::string CallerSession::frontRequestId() const
{
    return m_requests.empty() ? std::string() : m_requests.front()->requestId();
}

void CallerSession::end(CloseReason reason)
{
    if (std::exchange(m_connection->closed, true))
        return;
    const auto self = shared_from_this();
    m_connection->entry.dependencies().log.write(
        LogLevel::Debug, "caller-connection", { { "event", "closed" }, { "reason", toString(reason) } });
    const auto requests = std::exchange(m_requests, {});
    for (const auto& request : requests)
        request->cancel();
    error_code ignored;
    if (reason == CloseReason::Announced && m_reader->mayReceiveMore()) {
        m_connection->stream.cancel();
        updateStage();
        m_lingeringClose = std::make_shared<LingeringClose>(
            m_connection, [this, self] { m_onEnd(self, CloseReason::Announced); });
        return m_lingeringClose->start();
    }
    m_connection->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    m_connection->stream.close();
    m_onEnd(self, reason);
}

} // namespace tarragonhaven
