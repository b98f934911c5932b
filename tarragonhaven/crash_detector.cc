#include "tarragonhaven/crash_detector.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <map>
#include <utility>

namespace tarragonhaven {

namespace {

    namespace asio = boost::asio;
    using boost::system::error_code;
    using tcp = asio::ip::tcp;

    // The pauses before the two attempts to connect. The connections of a process that ends are closed
    // before, or after, its listener.
    constexpr std::array<util::Duration, 2> pauses { std::chrono::milliseconds(20),
        std::chrono::milliseconds(130) };
    constexpr util::Duration connectTimeout = std::chrono::milliseconds(300);
    // A target that runs keeps a new connection open for at least this long.
    constexpr util::Duration openTime = std::chrono::milliseconds(100);

} // namespace

class CrashDetector::Rep : public std::enable_shared_from_this<CrashDetector::Rep> {
public:
    Rep(asio::io_context& io, Handler handler)
        : m_io(io)
        , m_onCrash(std::move(handler))
    {
    }

    void recordConnectionLost(const Observed& target, RequestFingerprint fingerprint)
    {
        auto& check = m_checks[target.name];
        if (check) {
            check->lost.push_back(fingerprint);
            return;
        }
        check = std::make_shared<Check>(m_io, target);
        check->lost.push_back(fingerprint);
        pause(check);
    }

    void close() { m_checks.clear(); }

private:
    // A check whether a target has crashed.
    struct Check {
        Check(asio::io_context& io, Observed observed)
            : target(std::move(observed))
            , timer(io)
            , stream(io)
        {
        }
        Observed target;
        std::vector<RequestFingerprint> lost;
        std::size_t attempt = 0;
        asio::steady_timer timer;
        boost::beast::tcp_stream stream;
        std::array<char, 1> byte {};
    };

    void pause(const std::shared_ptr<Check>& check)
    {
        check->timer.expires_after(pauses.at(check->attempt));
        check->timer.async_wait([weak = weak_from_this(), check](error_code error) {
            const auto self = weak.lock();
            if (!error && self)
                self->connect(check);
        });
    }

    void connect(const std::shared_ptr<Check>& check)
    {
        if (check->target.hasOpenConnection())
            return onAlive(check);
        const auto& address = check->target.address;
        check->stream.expires_after(connectTimeout);
        check->stream.async_connect(tcp::endpoint(asio::ip::make_address(address.address), address.port),
            [weak = weak_from_this(), check](error_code error) {
                if (const auto self = weak.lock())
                    self->onConnected(check, error);
            });
    }

    void onConnected(const std::shared_ptr<Check>& check, error_code error)
    {
        if (error == asio::error::connection_refused || error == asio::error::connection_reset)
            return onGone(check);
        if (error)
            return onAlive(check);
        // A proxy on the way accepts connections to a target that has ended, and closes them.
        check->stream.expires_after(openTime);
        check->stream.async_read_some(
            asio::buffer(check->byte), [weak = weak_from_this(), check](error_code error, std::size_t) {
                const auto self = weak.lock();
                if (!self)
                    return;
                const bool closed = error && error != boost::beast::error::timeout;
                closed ? self->onGone(check) : self->onAlive(check);
            });
    }

    void onGone(const std::shared_ptr<Check>& check)
    {
        const auto lost = std::move(check->lost);
        end(check);
        m_onCrash(check->target.name, lost);
    }

    void onAlive(const std::shared_ptr<Check>& check)
    {
        check->stream.close();
        if (++check->attempt == pauses.size())
            return end(check);
        pause(check);
    }

    void end(const std::shared_ptr<Check>& check) { m_checks.erase(check->target.name); }

    asio::io_context& m_io;
    Handler m_onCrash;
    std::map<TargetName, std::shared_ptr<Check>> m_checks;
};

CrashDetector::CrashDetector(asio::io_context& io, Handler onCrash)
    : m_rep(std::make_shared<Rep>(io, std::move(onCrash)))
{
}

CrashDetector::~CrashDetector() { m_rep->close(); }

void CrashDetector::recordConnectionLost(const Observed& target, RequestFingerprint fingerprint)
{
    m_rep->recordConnectionLost(target, fingerprint);
}

} // namespace tarragonhaven
