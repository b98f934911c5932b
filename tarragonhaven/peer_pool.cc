#include "tarragonhaven/peer_pool.h"

#include <boost/asio/post.hpp>

namespace tarragonhaven {

namespace {

    constexpr std::size_t maximumIdlePerPeer = 32;

} // namespace

PeerPool::PeerPool(boost::asio::io_context& io, HelloFrame self, util::Duration connectTimeout)
    : m_io(io)
    , m_self(std::move(self))
    , m_connectTimeout(connectTimeout)
{
}

void PeerPool::take(const Instance& peer, LinkHandler handler)
{
    auto& idle = m_idle[peer.name];
    while (!idle.empty()) {
        auto link = std::move(idle.back());
        idle.pop_back();
        if (!link->stillOpen())
            continue;
        boost::asio::post(m_io, [link, handler = std::move(handler)] { handler(link); });
        return;
    }
    auto link = std::make_shared<PeerLink>(m_io, m_self);
    link->connect(peer.peerAddress, m_connectTimeout, [link, handler = std::move(handler)](bool connected) {
        if (connected)
            return handler(link);
        handler(tl::unexpected(
            Refusal { RefusalReason::PeerUnreachable, RunState::NotRun, util::Duration {}, link->error() }));
    });
}

void PeerPool::give(const InstanceName& peer, std::shared_ptr<PeerLink> link)
{
    auto& idle = m_idle[peer];
    if (idle.size() < maximumIdlePerPeer)
        idle.push_back(std::move(link));
}

void PeerPool::forget(const InstanceName& peer) { m_idle.erase(peer); }

} // namespace tarragonhaven
