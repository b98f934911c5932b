#include "tarragonhaven/testing/fake_target.h"

#include "tarragonhaven/listener.h"
#include "util/time.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <stdexcept>
#include <thread>

namespace tarragonhaven::testing {

namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = beast::http;
    using boost::system::error_code;
    using tcp = asio::ip::tcp;

    constexpr std::size_t keptHeaderLines = 20000;
    constexpr std::uint64_t bodyLimitBytes = 64'000'000;

} // namespace

class FakeTarget::Rep {
public:
    Rep(std::string chosen, const Endpoint& address, HeaderNames spoken)
        : name(std::move(chosen))
        , dialect(std::move(spoken))
        , endpoint(address)
        , listener(std::make_unique<Listener>(io, [this](tcp::socket socket) { accept(std::move(socket)); }))
        , restart(io)
        , started(util::BootClock::now())
    {
        const auto fault = listener->open(address);
        if (!fault.empty())
            throw std::runtime_error("fake target: " + fault);
        thread = std::thread([this] {
            const auto work = asio::make_work_guard(io);
            io.run();
        });
    }

    ~Rep()
    {
        io.stop();
        thread.join();
        // Sessions that the context still owns use this object when they end: let them end before it.
        const auto open = sessions;
        for (const auto& close : open)
            close.second();
        restart.cancel();
        io.restart();
        io.poll();
    }

    void accept(tcp::socket socket);
    void acceptControl(tcp::socket socket);

    void crash()
    {
        listener->close();
        const auto open = sessions;
        for (const auto& close : open)
            close.second();
        double pause = 0;
        {
            const std::lock_guard lock(mutex);
            ++seen.crashes;
            pause = plan.crashMs;
        }
        restart.expires_after(std::chrono::microseconds(static_cast<long>(pause * 1000)));
        restart.async_wait([this](error_code error) {
            if (error)
                return;
            started = util::BootClock::now();
            listener
                = std::make_unique<Listener>(io, [this](tcp::socket socket) { accept(std::move(socket)); });
            listener->open(endpoint);
        });
    }

    double chance() { return std::uniform_real_distribution<double>(0, 1)(random); }

    [[nodiscard]] bool dropping(const FaultPlan& current) const
    {
        if (current.dropAll || current.flapPeriodMs <= 0)
            return current.dropAll;
        const auto up = util::toSeconds(util::BootClock::now() - started) * 1000;
        return static_cast<long>(up / current.flapPeriodMs) % 2 == 1;
    }

    [[nodiscard]] double serviceMs(const FaultPlan& current) const
    {
        const auto up = util::toSeconds(util::BootClock::now() - started) * 1000;
        const double cold = up < current.coldMs ? current.coldFactor : 1;
        return current.serviceMs * current.slowFactor * cold;
    }

    std::string seenJson()
    {
        const std::lock_guard lock(mutex);
        nlohmann::json runs = nlohmann::json::object();
        for (const auto& [key, count] : seen.runs)
            runs[key] = count;
        return nlohmann::json {
            { "requests", seen.requests }, { "mostAtOnce", seen.mostAtOnce }, { "crashes", seen.crashes },
            { "runs", runs }
        }.dump();
    }

    std::string name;
    HeaderNames dialect;
    Endpoint endpoint;
    asio::io_context io;
    std::unique_ptr<Listener> listener;
    std::unique_ptr<Listener> control;
    asio::steady_timer restart;
    util::Time started;
    std::mt19937_64 random { 1 };
    std::map<void*, std::function<void()>> sessions;
    int atOnce = 0;
    std::mutex mutex;
    FaultPlan plan;
    TargetSeen seen;
    std::thread thread;
};

namespace {

    // One connection of the node that guards the target.
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
            m_rep.sessions.erase(this);
            leave();
        }

        void start()
        {
            m_rep.sessions[this] = [this] { close(); };
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

        void leave()
        {
            if (m_running)
                --m_rep.atOnce;
            m_running = false;
        }

        void read()
        {
            m_parser.emplace();
            m_parser->body_limit(bodyLimitBytes);
            http::async_read(m_stream, m_buffer, *m_parser,
                [self = this->shared_from_this()](error_code error, std::size_t) {
                    if (!error)
                        self->run();
                });
        }

        FaultPlan note()
        {
            const std::lock_guard lock(m_rep.mutex);
            auto& seen = m_rep.seen;
            ++seen.requests;
            ++m_rep.atOnce;
            m_running = true;
            seen.mostAtOnce = std::max(seen.mostAtOnce, m_rep.atOnce);
            for (const auto& field : m_parser->get()) {
                if (seen.headerLines.size() < keptHeaderLines)
                    seen.headerLines.push_back(
                        absl::StrCat(std::string(field.name_string()), ": ", std::string(field.value())));
            }
            const std::string marks[] = { "Idempotency-Key", "Request-Mark", m_rep.dialect.requestId };
            for (const auto& mark : marks) {
                const auto value = field(mark);
                if (!value.empty())
                    ++seen.runs[value];
            }
            return m_rep.plan;
        }

        std::string field(const std::string& name)
        {
            return name.empty() ? std::string() : std::string(m_parser->get()[name]);
        }

        void run()
        {
            const auto meant = field(m_rep.dialect.expectedTarget);
            if (!meant.empty() && meant != m_rep.name)
                return answer(http::status::misdirected_request, "another target\n");
            const auto plan = note();
            const std::string path(m_parser->get().target());
            if (!plan.crashOnPath.empty() && path.find(plan.crashOnPath) != std::string::npos)
                return m_rep.crash();
            if (m_rep.dropping(plan))
                return close();
            if (plan.hang) {
                m_timer.expires_after(std::chrono::hours(1));
                return m_timer.async_wait([self = this->shared_from_this()](error_code) { self->close(); });
            }
            const bool shed = plan.draining || (plan.slots > 0 && m_rep.atOnce > plan.slots);
            if (shed)
                return answer(http::status::service_unavailable, "shed\n");
            const double jitter = 0.75 + m_rep.chance() / 2;
            m_timer.expires_after(
                std::chrono::microseconds(static_cast<long>(m_rep.serviceMs(plan) * jitter * 1000)));
            m_timer.async_wait([self = this->shared_from_this(), plan](error_code error) {
                if (!error)
                    self->finish(plan);
            });
        }

        void finish(const FaultPlan& plan)
        {
            if (m_rep.chance() < plan.failShare)
                return answer(http::status::internal_server_error, "failed\n");
            if (m_rep.chance() < plan.unframedShare)
                return sendRaw("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nno length");
            if (m_rep.chance() < plan.cutShare)
                return sendRaw("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nonly the beginning");
            const std::string path(m_parser->get().target());
            const auto at = path.find("/bytes/");
            long bytes = 0;
            if (at != std::string::npos
                && absl::SimpleAtoi(path.substr(at + 7, path.find('?') - at - 7), &bytes))
                return answer(http::status::ok, std::string(static_cast<std::size_t>(bytes), 'x'));
            const nlohmann::json body { { "target", m_rep.name }, { "path", path },
                { "bodyBytes", m_parser->get().body().size() },
                { "mark", std::string(m_parser->get()["Request-Mark"]) } };
            answer(http::status::ok, body.dump() + "\n");
        }

        void answer(http::status status, std::string body)
        {
            m_response.emplace();
            m_response->result(status);
            m_response->version(11);
            m_response->set(http::field::content_type, "application/json");
            const auto& dialect = m_rep.dialect;
            if (!dialect.requestId.empty())
                m_response->set(dialect.requestId, field(dialect.requestId));
            if (!dialect.signature.empty())
                m_response->set(dialect.signature, m_rep.name);
            const bool keep = m_parser->get().keep_alive() && status != http::status::service_unavailable;
            m_response->keep_alive(keep);
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
            const auto done = [self = this->shared_from_this(), keep](error_code error, std::size_t) {
                self->leave();
                if (error || !keep)
                    return self->close();
                self->read();
            };
            if (isHead)
                http::async_write_header(m_stream, *m_serializer, done);
            else
                http::async_write(m_stream, *m_serializer, done);
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
        bool m_running = false;
    };

    // One request for control.
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
                        self->answer();
                });
        }

    private:
        void answer()
        {
            const std::string path(m_request.target());
            m_response.version(11);
            m_response.keep_alive(false);
            if (path == "/plan" && m_request.method() == http::verb::put) {
                const std::lock_guard lock(m_rep.mutex);
                m_rep.plan = parseFaultPlan(m_request.body());
            } else if (path == "/seen") {
                m_response.body() = m_rep.seenJson();
            } else if (path == "/health") {
                const std::lock_guard lock(m_rep.mutex);
                const bool sick = m_rep.dropping(m_rep.plan) || m_rep.plan.hang;
                m_response.body() = sick && !m_rep.plan.lyingHealth ? "failing\n" : "healthy\n";
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

FakeTarget::FakeTarget(std::string name, const Endpoint& address, HeaderNames dialect)
    : m_rep(std::make_shared<Rep>(std::move(name), address, std::move(dialect)))
{
}

FakeTarget::~FakeTarget() = default;

void FakeTarget::openControl(const Endpoint& address)
{
    auto* rep = m_rep.get();
    rep->control = std::make_unique<Listener>(
        rep->io, [rep](tcp::socket socket) { rep->acceptControl(std::move(socket)); });
    const auto fault = rep->control->open(address);
    if (!fault.empty())
        throw std::runtime_error("fake target control: " + fault);
}

void FakeTarget::setPlan(const FaultPlan& plan)
{
    const std::lock_guard lock(m_rep->mutex);
    m_rep->plan = plan;
}

TargetSeen FakeTarget::seen() const
{
    const std::lock_guard lock(m_rep->mutex);
    return m_rep->seen;
}

} // namespace tarragonhaven::testing
