#include "tarragonhaven/testing/fake_platform.h"

#include "tarragonhaven/declaration_write.h"
#include "tarragonhaven/listener.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

namespace tarragonhaven::testing {

namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = beast::http;
    using boost::system::error_code;
    using tcp = asio::ip::tcp;

    constexpr auto watchPollInterval = std::chrono::milliseconds(5);
    constexpr std::uint64_t bodyLimitBytes = 4'000'000;

    struct StoredVersion {
        Revision revision = 0;
        std::string text;
    };

    long parseQueryNumber(const std::string& target, const std::string& name)
    {
        const auto position = target.find(name + "=");
        long number = 0;
        if (position == std::string::npos)
            return 0;
        const auto begin = position + name.size() + 1;
        const auto end = target.find('&', begin);
        return absl::SimpleAtoi(target.substr(begin, end - begin), &number) ? number : 0;
    }

} // namespace

class FakePlatform::Rep {
public:
    explicit Rep(const Endpoint& address)
        : listener(io, [this](tcp::socket socket) { accept(std::move(socket)); })
    {
        const auto error = listener.open(address);
        if (!error.empty())
            throw std::runtime_error("fake platform cannot start: " + error);
        thread = std::thread([this] {
            const auto work = asio::make_work_guard(io);
            io.run();
        });
    }

    ~Rep()
    {
        io.stop();
        thread.join();
    }

    void accept(tcp::socket socket);

    // Returns the newest version of a value, or the newest one up to the pinned revision; nullptr if there is
    // none. The caller must hold the mutex.
    const StoredVersion* find(const std::string& name)
    {
        const auto versions = values.find(name);
        if (versions == values.end())
            return nullptr;
        const StoredVersion* latest = nullptr;
        for (const auto& version : versions->second) {
            if (pinnedRevision == 0 || version.revision <= pinnedRevision)
                latest = &version;
        }
        return latest;
    }

    // The caller must hold the mutex.
    Revision indexRevision()
    {
        const auto* index = find(indexValueName);
        return index ? index->revision : 0;
    }

    Revision publish(const std::map<std::string, std::string>& newValues)
    {
        const std::lock_guard lock(mutex);
        ++revision;
        for (const auto& [name, text] : newValues)
            values[name].push_back({ revision, text });
        return revision;
    }

    asio::io_context io;
    Listener listener;
    std::mutex mutex;
    Revision revision = 0;
    Revision pinnedRevision = 0;
    bool unavailable = false;
    long reads = 0;
    std::map<std::string, std::vector<StoredVersion>> values;
    std::set<std::string> leaving;
    std::thread thread;
};

namespace {

    // Serves one request on a connection.
    template <typename Rep>
    class PlatformSession : public std::enable_shared_from_this<PlatformSession<Rep>> {
    public:
        PlatformSession(Rep& rep, tcp::socket socket)
            : m_rep(rep)
            , m_stream(std::move(socket))
            , m_timer(rep.io)
        {
            m_parser.body_limit(bodyLimitBytes);
        }

        void start()
        {
            http::async_read(m_stream, m_buffer, m_parser,
                [self = this->shared_from_this()](error_code error, std::size_t) {
                    if (!error)
                        self->handleRequest();
                });
        }

    private:
        void handleRequest()
        {
            const auto& request = m_parser.get();
            const std::string target(request.target());
            if (request.method() == http::verb::put)
                return handleControl(target, request.body());
            std::unique_lock lock(m_rep.mutex);
            if (target == "/v1/reads")
                return respond(200, 0, std::to_string(m_rep.reads));
            ++m_rep.reads;
            if (m_rep.unavailable)
                return;
            if (target.starts_with("/v1/values/")) {
                const auto* stored = m_rep.find(target.substr(std::string("/v1/values/").size()));
                return stored ? respond(200, stored->revision, stored->text) : respond(404, 0, "");
            }
            if (target == "/v1/instances")
                return respond(200, 0, instancesJson());
            if (target.starts_with("/v1/watch")) {
                m_after = static_cast<Revision>(parseQueryNumber(target, "after"));
                m_waitUntil = std::chrono::steady_clock::now()
                    + std::chrono::milliseconds(parseQueryNumber(target, "waitMs"));
                lock.unlock();
                return respondToWatch();
            }
            respond(404, 0, "");
        }

        // Responds once the index has a revision greater than `m_after`, or at the end of the waiting time.
        // Polls every watchPollInterval.
        void respondToWatch()
        {
            const std::lock_guard lock(m_rep.mutex);
            if (m_rep.unavailable)
                return;
            const auto revision = m_rep.indexRevision();
            if (revision > m_after || std::chrono::steady_clock::now() >= m_waitUntil)
                return respond(200, revision, absl::StrCat("{\"revision\":", revision, "}"));
            m_timer.expires_after(watchPollInterval);
            m_timer.async_wait([self = this->shared_from_this()](error_code) { self->respondToWatch(); });
        }

        std::string instancesJson()
        {
            auto rows = nlohmann::json::array();
            for (const auto& name : m_rep.leaving)
                rows.push_back({ { "name", name }, { "state", "leaving" } });
            return nlohmann::json { { "instances", rows } }.dump();
        }

        void handleControl(const std::string& target, const std::string& body)
        {
            if (target.starts_with("/v1/values/")) {
                const auto revision
                    = m_rep.publish({ { target.substr(std::string("/v1/values/").size()), body } });
                return respond(200, revision, "");
            }
            const std::lock_guard lock(m_rep.mutex);
            if (target == "/v1/leaving")
                m_rep.leaving = absl::StrSplit(body, ',', absl::SkipEmpty());
            if (target == "/v1/away")
                m_rep.unavailable = body == "1";
            respond(200, 0, "");
        }

        void respond(unsigned status, Revision revision, const std::string& body)
        {
            m_response.version(11);
            m_response.result(status);
            m_response.set("Revision", std::to_string(revision));
            m_response.keep_alive(false);
            m_response.body() = body;
            m_response.prepare_payload();
            http::async_write(
                m_stream, m_response, [self = this->shared_from_this()](error_code, std::size_t) {});
        }

        Rep& m_rep;
        beast::tcp_stream m_stream;
        asio::steady_timer m_timer;
        beast::flat_buffer m_buffer;
        http::request_parser<http::string_body> m_parser;
        http::response<http::string_body> m_response;
        Revision m_after = 0;
        std::chrono::steady_clock::time_point m_waitUntil;
    };

} // namespace

void FakePlatform::Rep::accept(tcp::socket socket)
{
    std::make_shared<PlatformSession<Rep>>(*this, std::move(socket))->start();
}

FakePlatform::FakePlatform(const Endpoint& address)
    : m_rep(std::make_unique<Rep>(address))
{
}

FakePlatform::~FakePlatform() = default;

Revision FakePlatform::publish(const std::map<std::string, std::string>& values)
{
    return m_rep->publish(values);
}

void FakePlatform::setLeaving(const std::set<std::string>& instances)
{
    const std::lock_guard lock(m_rep->mutex);
    m_rep->leaving = instances;
}

void FakePlatform::setUnavailable(bool unavailable)
{
    const std::lock_guard lock(m_rep->mutex);
    m_rep->unavailable = unavailable;
}

void FakePlatform::pinRevision(Revision revision)
{
    const std::lock_guard lock(m_rep->mutex);
    m_rep->pinnedRevision = revision;
}

long FakePlatform::reads() const
{
    const std::lock_guard lock(m_rep->mutex);
    return m_rep->reads;
}

} // namespace tarragonhaven::testing
