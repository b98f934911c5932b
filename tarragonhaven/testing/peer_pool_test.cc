// Links to a node that accepts connections but stands still, as a frozen process does. Over sockets.

#include "tarragonhaven/peer_pool.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>

namespace tarragonhaven::testing {

namespace {

    using tcp = boost::asio::ip::tcp;

    const HelloFrame hello { peerProtocolVersion, "fleet", "i1", 1 };
    constexpr util::Duration connectTimeout = std::chrono::seconds(30);
    constexpr util::Duration connectWait = std::chrono::milliseconds(30);
    constexpr util::Duration testTimeout = std::chrono::seconds(20);

    template <typename Done> void runUntil(boost::asio::io_context& io, Done done)
    {
        const auto end = util::BootClock::now() + testTimeout;
        while (!done() && util::BootClock::now() < end)
            io.run_one_for(std::chrono::milliseconds(10));
    }

} // namespace

// Guards against requests that wait for a dead or frozen node for the whole connect timeout, one after the
// other.
TEST_CASE("a request does not wait for a slow connection, which later requests use", "[net]")
{
    boost::asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    Instance peer;
    peer.name.text = "i2";
    peer.peerAddress = { "127.0.0.1", acceptor.local_endpoint().port() };
    PeerPool pool(io, hello, PeerPool::Timeouts { connectTimeout, connectWait });

    std::optional<Outcome<std::shared_ptr<PeerLink>>> first;
    pool.acquire(peer, [&](Outcome<std::shared_ptr<PeerLink>> link) { first = std::move(link); });
    runUntil(io, [&] { return first.has_value(); });
    REQUIRE(first);
    REQUIRE_FALSE(*first);
    CHECK(first->error().reason == RefusalReason::PeerUnreachable);
    CHECK(first->error().run == RunState::NotRun);

    // The node continues. The link is completed although no request waits for it.
    std::shared_ptr<PeerLink> accepted;
    bool helloExchanged = false;
    acceptor.async_accept([&](boost::system::error_code error, tcp::socket socket) {
        REQUIRE(!error);
        accepted = std::make_shared<PeerLink>(std::move(socket), hello);
        accepted->accept(testTimeout, [&](bool done) { helloExchanged = done; });
    });
    runUntil(io, [&] { return helloExchanged; });
    REQUIRE(helloExchanged);
    std::shared_ptr<PeerLink> link;
    for (int i = 0; i < 200 && !link; ++i) {
        std::optional<Outcome<std::shared_ptr<PeerLink>>> next;
        pool.acquire(peer, [&](Outcome<std::shared_ptr<PeerLink>> outcome) { next = std::move(outcome); });
        runUntil(io, [&] { return next.has_value(); });
        REQUIRE(next);
        if (*next)
            link = **next;
    }
    CHECK(link);
}

} // namespace tarragonhaven::testing
