#include "tarragonhaven/operator_server.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>

namespace tarragonhaven {

namespace {

    namespace beast = boost::beast;
    namespace http = beast::http;
    using boost::system::error_code;
    using tcp = boost::asio::ip::tcp;

    // The time for a whole request. Operators' clients send it at once.
    constexpr auto requestTimeout = std::chrono::milliseconds(3500);
    constexpr auto responseTimeout = std::chrono::seconds(10);
    // How long, and for how many bytes, a connection is read after its response, so that unread bytes do not
    // reset it before the client has read the response.
    constexpr auto lingerTime = std::chrono::seconds(1);
    constexpr std::size_t lingerBytes = 64 * 1024;
    constexpr std::size_t requestLimitBytes = 16 * 1024;

    // Serves one request on a connection to the operator endpoint, then closes the connection.
    class OperatorSession : public std::enable_shared_from_this<OperatorSession> {
    public:
        using StatusQuery = std::function<void(bool metrics, std::function<void(const StatusReply&)>)>;

        OperatorSession(tcp::socket socket, std::unique_ptr<TrackedConnection> tracked,
            const NodeState& state, StatusQuery queryStatus)
            : m_stream(std::move(socket))
            , m_tracked(std::move(tracked))
            , m_state(state)
            , m_queryStatus(std::move(queryStatus))
        {
        }

        void start()
        {
            m_tracked->onClose([weak = weak_from_this()] {
                if (const auto self = weak.lock())
                    self->m_stream.close();
            });
            m_stream.expires_after(requestTimeout);
            http::async_read_header(
                m_stream, m_buffer, m_parser, [self = shared_from_this()](error_code error, std::size_t) {
                    if (!error)
                        self->handleRequest();
                });
        }

    private:
        void handleRequest()
        {
            m_tracked->setStage(ConnectionStage::Running);
            const std::string target(m_parser.get().target());
            if (m_parser.get().method() != http::verb::get)
                return respond(http::status::method_not_allowed, "text/plain",
                    "method not allowed: only GET is supported\n");
            if (target == "/live")
                return respond(http::status::ok, "text/plain", "live\n");
            if (target == "/ready") {
                const bool ready = m_state.ready.load();
                return respond(ready ? http::status::ok : http::status::service_unavailable, "text/plain",
                    ready ? "ready\n" : "not ready\n");
            }
            if (target == "/status" || target == "/metrics")
                return respondWithState(target == "/metrics");
            respond(http::status::not_found, "text/plain",
                "unknown path: the paths are /live, /ready, /status and /metrics\n");
        }

        void respondWithState(bool metrics)
        {
            const auto* type = metrics ? "text/plain; version=0.0.4" : "application/json";
            m_queryStatus(metrics, [self = shared_from_this(), type](const StatusReply& reply) {
                self->respond(http::status::ok, type, reply.body);
            });
        }

        void respond(http::status status, const char* type, const std::string& body)
        {
            m_response.result(status);
            m_response.version(m_parser.get().version());
            m_response.set(http::field::content_type, type);
            m_response.keep_alive(false);
            m_response.body() = body;
            m_response.prepare_payload();
            m_tracked->setStage(ConnectionStage::Transferring);
            m_stream.expires_after(responseTimeout);
            http::async_write(
                m_stream, m_response, [self = shared_from_this()](error_code error, std::size_t) {
                    self->m_stream.socket().shutdown(tcp::socket::shutdown_send, error);
                    self->m_tracked->setStage(ConnectionStage::Idle);
                    self->m_stream.expires_after(lingerTime);
                    self->discard();
                });
        }

        void discard()
        {
            m_stream.async_read_some(boost::asio::buffer(m_discarded),
                [self = shared_from_this()](error_code error, std::size_t count) {
                    self->m_discardedBytes += count;
                    if (!error && self->m_discardedBytes <= lingerBytes)
                        self->discard();
                });
        }

        beast::tcp_stream m_stream;
        std::unique_ptr<TrackedConnection> m_tracked;
        const NodeState& m_state;
        StatusQuery m_queryStatus;
        beast::flat_buffer m_buffer { requestLimitBytes };
        http::request_parser<http::empty_body> m_parser;
        http::response<http::string_body> m_response;
        std::array<char, 1024> m_discarded {};
        std::size_t m_discardedBytes = 0;
    };

} // namespace

OperatorServer::OperatorServer(NodeState& state, LogChannel& log, const ConnectionLimits& connections,
    util::BoundedRing<StatusRequest>& requests, util::BoundedRing<StatusReply>& replies)
    : m_state(state)
    , m_requests(requests)
    , m_replies(replies)
    , m_gate({ m_io, "operators", state.connections.operators, log }, connections,
          [this](auto socket, auto tracked) { accept(std::move(socket), std::move(tracked)); })
{
    m_replies.setWakeHandler([this] {
        boost::asio::post(m_io, [this] {
            m_replies.drain([this](const StatusReply& reply) {
                const auto pending = m_pendingReplies.extract(reply.id);
                if (!pending.empty())
                    pending.mapped()(reply);
            });
        });
    });
}

OperatorServer::~OperatorServer() { stop(); }

std::string OperatorServer::open(const Endpoint& endpoint)
{
    const auto error = m_gate.open(endpoint);
    return error.empty() ? error : "cannot listen at the operator address: " + error;
}

void OperatorServer::start()
{
    m_thread = std::thread([this] {
        const auto work = boost::asio::make_work_guard(m_io);
        m_io.run();
    });
}

void OperatorServer::stop()
{
    m_io.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void OperatorServer::accept(tcp::socket socket, std::unique_ptr<TrackedConnection> tracked)
{
    std::make_shared<OperatorSession>(std::move(socket), std::move(tracked), m_state,
        [this](bool metrics, ReplyHandler handler) { queryStatus(metrics, std::move(handler)); })
        ->start();
}

void OperatorServer::queryStatus(bool metrics, ReplyHandler handler)
{
    const auto id = ++m_lastRequestId;
    m_pendingReplies.emplace(id, std::move(handler));
    if (!m_requests.push({ id, metrics }))
        m_pendingReplies.erase(id);
}

} // namespace tarragonhaven
