#include "tarragonhaven/testing/fake_target.h"

#include "tarragonhaven/testing/fake_target_rep.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

namespace tarragonhaven::testing {

namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = beast::http;
    using boost::system::error_code;
    using tcp = asio::ip::tcp;

    constexpr std::size_t maxHeaderLines = 20000;
    constexpr std::uint64_t bodyLimitBytes = 64'000'000;
    constexpr std::size_t longTrailerBytes = 70'000;

} // namespace

namespace {

    // A connection from the guard node of the target, for any number of requests in sequence.
    template <typename Rep> class TargetSession : public std::enable_shared_from_this<TargetSession<Rep>> {
    public:
        TargetSession(Rep& rep, tcp::socket socket)
            : m_rep(rep)
            , m_stream(std::move(socket))
            , m_timer(rep.io)
        {
        }

        ~TargetSession()
        {
            m_rep.sessionClosers.erase(this);
            releaseRequest();
        }

        void start()
        {
            m_rep.sessionClosers[this] = [this] { close(); };
            read();
        }

    private:
        using Request = http::request<http::string_body>;

        void close()
        {
            error_code ignored;
            m_stream.socket().close(ignored);
            m_timer.cancel();
        }

        // Ends the count of the current request as concurrent. Does nothing if there is none.
        void releaseRequest()
        {
            if (m_inProgress)
                --m_rep.concurrentRequests;
            m_inProgress = false;
        }

        void read()
        {
            m_parser.emplace();
            m_parser->body_limit(bodyLimitBytes);
            http::async_read(m_stream, m_buffer, *m_parser,
                [self = this->shared_from_this()](error_code error, std::size_t) {
                    if (!error)
                        self->handleRequest();
                });
        }

        // Counts the request as run. Returns the plan that applies to it.
        FaultPlan recordRequest()
        {
            const std::lock_guard lock(m_rep.mutex);
            auto& stats = m_rep.stats;
            ++stats.requests;
            ++m_rep.concurrentRequests;
            m_inProgress = true;
            stats.maxConcurrentRequests = std::max(stats.maxConcurrentRequests, m_rep.concurrentRequests);
            for (const auto& field : m_parser->get()) {
                if (stats.headerLines.size() < maxHeaderLines)
                    stats.headerLines.push_back(
                        absl::StrCat(std::string(field.name_string()), ": ", std::string(field.value())));
            }
            const std::string idFields[] = { "Idempotency-Key", "Request-Mark", m_rep.headerNames.requestId };
            for (const auto& idField : idFields) {
                const auto value = field(idField);
                if (!value.empty())
                    ++stats.runs[value];
            }
            const auto requestId = field(m_rep.headerNames.requestId);
            if (!requestId.empty())
                stats.arrivals.push_back({ requestId, std::chrono::steady_clock::now() });
            return m_rep.plan;
        }

        std::string field(const std::string& name)
        {
            return name.empty() ? std::string() : std::string(m_parser->get()[name]);
        }

        void handleRequest()
        {
            const auto expectedTarget = field(m_rep.headerNames.expectedTarget);
            if (!expectedTarget.empty() && expectedTarget != m_rep.name)
                return respond(http::status::misdirected_request, "another target\n");
            const std::string path(m_parser->get().target());
            if (path == "/health" && !m_rep.headerNames.coldRemaining.empty())
                return handleHealth();
            const auto plan = recordRequest();
            if (!plan.crashOnPath.empty() && path.find(plan.crashOnPath) != std::string::npos)
                return m_rep.crash();
            if (m_rep.isDropping(plan))
                return close();
            if (plan.hang) {
                m_timer.expires_after(std::chrono::hours(1));
                return m_timer.async_wait([self = this->shared_from_this()](error_code) { self->close(); });
            }
            const bool shed = plan.draining || (plan.slots > 0 && m_rep.concurrentRequests > plan.slots);
            if (shed)
                return respond(http::status::service_unavailable, "shed\n");
            const double jitter = 0.75 + m_rep.drawFraction() / 2;
            m_timer.expires_after(
                std::chrono::microseconds(static_cast<long>(m_rep.serviceTimeMs(plan) * jitter * 1000)));
            m_timer.async_wait([self = this->shared_from_this(), plan](error_code error) {
                if (!error)
                    self->respondByPlan(plan);
            });
        }

        // Responds to a health probe, unless the plan makes the target fail all requests or hang.
        void handleHealth()
        {
            const auto plan = m_rep.currentPlan();
            if (m_rep.isDropping(plan))
                return close();
            if (!plan.hang)
                return respond(http::status::ok, "{}\n");
            m_timer.expires_after(std::chrono::hours(1));
            m_timer.async_wait([self = this->shared_from_this()](error_code) { self->close(); });
        }

        // Responds at the end of the service time, with a fault if the plan's shares select one.
        void respondByPlan(const FaultPlan& plan)
        {
            if (m_rep.drawFraction() < plan.failShare)
                return respond(http::status::internal_server_error, "failed\n");
            if (m_rep.drawFraction() < plan.unframedShare)
                return sendRaw("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nno length");
            if (m_rep.drawFraction() < plan.cutShare)
                return sendRaw("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nonly the beginning");
            const std::string path(m_parser->get().target());
            const auto position = path.find("/bytes/");
            long bytes = 0;
            if (position != std::string::npos
                && absl::SimpleAtoi(path.substr(position + 7, path.find('?') - position - 7), &bytes))
                return respond(http::status::ok, std::string(static_cast<std::size_t>(bytes), 'x'));
            const nlohmann::json body { { "target", m_rep.name }, { "path", path },
                { "bodyBytes", m_parser->get().body().size() },
                { "mark", std::string(m_parser->get()["Request-Mark"]) } };
            if (m_rep.drawFraction() < plan.longTrailerShare)
                return respondWithLongTrailer(body.dump() + "\n");
            respond(http::status::ok, body.dump() + "\n");
        }

        void respondWithLongTrailer(const std::string& body)
        {
            beginResponse(http::status::ok);
            m_response->chunked(true);
            std::ostringstream text;
            text << m_response->base() << std::hex << body.size() << "\r\n"
                 << body << "\r\n0\r\nLong-Trailer: " << std::string(longTrailerBytes, 'x') << "\r\n\r\n";
            sendRaw(text.str());
        }

        void beginResponse(http::status status)
        {
            m_response.emplace();
            m_response->result(status);
            m_response->version(11);
            m_response->set(http::field::content_type, "application/json");
            const auto& headerNames = m_rep.headerNames;
            if (!headerNames.requestId.empty())
                m_response->set(headerNames.requestId, field(headerNames.requestId));
            if (!headerNames.signature.empty())
                m_response->set(headerNames.signature, m_rep.name);
            if (!headerNames.coldRemaining.empty() && m_parser->get().target() == "/health")
                m_response->set(headerNames.coldRemaining,
                    absl::StrCat(static_cast<long>(m_rep.coldRemainingMs(m_rep.currentPlan()))));
            setNotices(status == http::status::misdirected_request);
        }

        void respond(http::status status, std::string body)
        {
            beginResponse(status);
            const bool keepAlive
                = m_parser->get().keep_alive() && status != http::status::service_unavailable;
            m_response->keep_alive(keepAlive);
            const bool chunked = m_parser->get().target().find("chunked") != beast::string_view::npos;
            const bool isHead = m_parser->get().method() == http::verb::head;
            const auto length = body.size();
            if (!isHead)
                m_response->body() = std::move(body);
            if (chunked && !isHead)
                m_response->chunked(true);
            else
                m_response->content_length(length);
            m_serializer.emplace(*m_response);
            if (isHead)
                m_serializer->split(true);
            const auto done = [self = this->shared_from_this(), keepAlive](error_code error, std::size_t) {
                self->releaseRequest();
                if (error || !keepAlive)
                    return self->close();
                self->read();
            };
            if (isHead)
                http::async_write_header(m_stream, *m_serializer, done);
            else
                http::async_write(m_stream, *m_serializer, done);
        }

        // Adds what the target announces. A misdirected request gets no notice, since its sender means
        // another target.
        void setNotices(bool misdirected)
        {
            const std::lock_guard lock(m_rep.mutex);
            const auto& headerNames = m_rep.headerNames;
            const auto& notice = m_rep.notice;
            if (!headerNames.requestLimit.empty() && notice.requestsPerSecond && !misdirected)
                m_response->set(headerNames.requestLimit, absl::StrCat(*notice.requestsPerSecond));
            if (!headerNames.leavingNotice.empty() && notice.leaving && !misdirected)
                m_response->set(headerNames.leavingNotice, "1");
        }

        void sendRaw(const std::string& text)
        {
            m_raw = text;
            asio::async_write(m_stream, asio::buffer(m_raw),
                [self = this->shared_from_this()](error_code, std::size_t) { self->close(); });
        }

        Rep& m_rep;
        beast::tcp_stream m_stream;
        asio::steady_timer m_timer;
        beast::flat_buffer m_buffer;
        std::optional<http::request_parser<http::string_body>> m_parser;
        std::optional<http::response<http::string_body>> m_response;
        std::optional<http::response_serializer<http::string_body>> m_serializer;
        std::string m_raw;
        bool m_inProgress = false;
    };

    // Serves one request at the control endpoint.
    template <typename Rep> class ControlSession : public std::enable_shared_from_this<ControlSession<Rep>> {
    public:
        ControlSession(Rep& rep, tcp::socket socket)
            : m_rep(rep)
            , m_stream(std::move(socket))
        {
        }

        void start()
        {
            http::async_read(m_stream, m_buffer, m_request,
                [self = this->shared_from_this()](error_code error, std::size_t) {
                    if (!error)
                        self->respond();
                });
        }

    private:
        void respond()
        {
            const std::string path(m_request.target());
            m_response.version(11);
            m_response.keep_alive(false);
            if (path == "/plan" && m_request.method() == http::verb::put) {
                const std::lock_guard lock(m_rep.mutex);
                m_rep.plan = parseFaultPlan(m_request.body());
            } else if (path == "/seen") {
                m_response.body() = m_rep.statsJson();
            } else if (path == "/health") {
                const std::lock_guard lock(m_rep.mutex);
                const bool isFailing = m_rep.isDropping(m_rep.plan) || m_rep.plan.hang;
                m_response.body() = isFailing && !m_rep.plan.lyingHealth ? "failing\n" : "healthy\n";
            } else {
                m_response.result(http::status::not_found);
            }
            m_response.prepare_payload();
            http::async_write(
                m_stream, m_response, [self = this->shared_from_this()](error_code, std::size_t) {});
        }

        Rep& m_rep;
        beast::tcp_stream m_stream;
        beast::flat_buffer m_buffer;
        http::request<http::string_body> m_request;
        http::response<http::string_body> m_response;
    };

} // namespace

void FakeTarget::Rep::accept(tcp::socket socket)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    std::make_shared<TargetSession<Rep>>(*this, std::move(socket))->start();
}

void FakeTarget::Rep::acceptControl(tcp::socket socket)
{
    std::make_shared<ControlSession<Rep>>(*this, std::move(socket))->start();
}

FakeTarget::FakeTarget(std::string name, const Endpoint& address, HeaderNames headerNames)
    : m_rep(std::make_shared<Rep>(std::move(name), address, std::move(headerNames)))
{
}

FakeTarget::~FakeTarget() = default;

void FakeTarget::openControl(const Endpoint& address)
{
    auto* rep = m_rep.get();
    rep->controlListener = std::make_unique<Listener>(
        rep->io, [rep](tcp::socket socket) { rep->acceptControl(std::move(socket)); });
    const auto error = rep->controlListener->open(address);
    if (!error.empty())
        throw std::runtime_error("control endpoint of the fake target cannot start: " + error);
}

void FakeTarget::setPlan(const FaultPlan& plan)
{
    const std::lock_guard lock(m_rep->mutex);
    m_rep->plan = plan;
}

void FakeTarget::setNotice(const TargetNotice& notice)
{
    const std::lock_guard lock(m_rep->mutex);
    m_rep->notice = notice;
}

void FakeTarget::restart(std::chrono::milliseconds downtime)
{
    asio::post(m_rep->io, [rep = m_rep.get(), downtime] { rep->restart(downtime); });
}

void FakeTarget::becomeCold(std::chrono::milliseconds duration)
{
    const std::lock_guard lock(m_rep->mutex);
    m_rep->coldUntil = std::max(m_rep->coldUntil, util::BootClock::now() + duration);
}

TargetStats FakeTarget::stats() const
{
    const std::lock_guard lock(m_rep->mutex);
    return m_rep->stats;
}

} // namespace tarragonhaven::testing
