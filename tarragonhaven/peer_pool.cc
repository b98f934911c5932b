#include "tarragonhaven/peer_pool.h"

#include <boost/asio/post.hpp>

namespace tarragonhaven {

namespace {

    constexpr std::size_t maximumIdlePerPeer = 32;

} // namespace

PeerPool::PeerPool(boost::asio::io_context& io, HelloFrame localHello, util::Duration connectTimeout)
    : m_io(io)
    , m_localHello(std::move(localHello))
    , m_connectTimeout(connectTimeout)
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
    auto link = std::make_shared<PeerLink>(m_io, m_localHello);
    link->connect(peer.peerAddress, m_connectTimeout, [link, handler = std::move(handler)](bool connected) {
        if (connected)
            return handler(link);
        handler(tl::unexpected(
            Refusal { RefusalReason::PeerUnreachable, RunState::NotRun, util::Duration {}, link->error() }));
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
