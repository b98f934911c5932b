#include "tarragonhaven/peer_pool.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace tarragonhaven {

namespace {

    constexpr std::size_t maximumIdlePerPeer = 32;

} // namespace

// A connection that a request waits for. The handler is empty once it was called.
struct PeerPool::PendingConnect {
    PendingConnect(boost::asio::io_context& io, LinkHandler linkHandler)
        : waitTimer(io)
        , handler(std::move(linkHandler))
    {
    }

    // Returns whether a request was waiting.
    bool complete(Outcome<std::shared_ptr<PeerLink>> outcome)
    {
        waitTimer.cancel();
        const auto waiting = std::exchange(handler, nullptr);
        if (waiting)
            waiting(std::move(outcome));
        return static_cast<bool>(waiting);
    }

    boost::asio::steady_timer waitTimer;
    LinkHandler handler;
};

PeerPool::PeerPool(boost::asio::io_context& io, HelloFrame localHello, Timeouts timeouts)
    : m_io(io)
    , m_localHello(std::move(localHello))
    , m_timeouts(timeouts)
{
}

void PeerPool::acquire(const Instance& peer, LinkHandler handler)
{
    auto& idle = m_idle[peer.name];
    while (!idle.empty()) {
        auto link = std::move(idle.back());
        idle.pop_back();
        if (!link->isReusable())
            continue;
        boost::asio::post(m_io, [link, handler = std::move(handler)] { handler(link); });
        return;
    }
    connect(peer, std::move(handler));
}

void PeerPool::connect(const Instance& peer, LinkHandler handler)
{
    const auto link = std::make_shared<PeerLink>(m_io, m_localHello);
    const auto pending = std::make_shared<PendingConnect>(m_io, std::move(handler));
    if (m_timeouts.wait > util::Duration {}) {
        pending->waitTimer.expires_after(m_timeouts.wait);
        pending->waitTimer.async_wait([pending, wait = m_timeouts.wait](boost::system::error_code error) {
            const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
            if (!error)
                pending->complete(tl::unexpected(Refusal { RefusalReason::PeerUnreachable, RunState::NotRun,
                    util::Duration {}, absl::StrCat("no connection within ", ms, " ms") }));
        });
    }
    link->connect(
        peer.peerAddress, m_timeouts.connect, [this, link, pending, name = peer.name](bool connected) {
            if (connected && !pending->complete(link))
                return release(name, link);
            if (!connected)
                pending->complete(tl::unexpected(Refusal {
                    RefusalReason::PeerUnreachable, RunState::NotRun, util::Duration {}, link->error() }));
        });
}

void PeerPool::release(const InstanceName& peer, std::shared_ptr<PeerLink> link)
{
    auto& idle = m_idle[peer];
    if (idle.size() < maximumIdlePerPeer)
        idle.push_back(std::move(link));
}

void PeerPool::closeIdle(const InstanceName& peer) { m_idle.erase(peer); }

} // namespace tarragonhaven
