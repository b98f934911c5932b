#pragma once

#include "tarragonhaven/peer_session.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <utility>

namespace tarragonhaven::testing {

// The part of a node that runs the requests of other nodes: a guard with the target "t1" of the service
// "status", and the sessions of the links from its peers.
class GuardNode : public PeerSessionHost {
public:
    // Listens on a free port of the loopback address.
    GuardNode(boost::asio::io_context& io, HelloFrame hello, const Endpoint& target,
        const GuardOptions& options = {})
        : m_hello(std::move(hello))
        , m_guard(io, { "i2" }, 1, options)
        , m_acceptor(io, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    {
        m_guard.apply(Directory(
            Directory::TargetsByService { { { "status" }, { Target { { "t1" }, { "i2" }, target, 4 } } } },
            std::uint16_t { 1 }));
        accept();
    }

    [[nodiscard]] Endpoint address() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }
    [[nodiscard]] int slotsInUse() const { return m_guard.find({ "t1" })->slotsInUse(); }
    // Returns the number of links that have been accepted.
    [[nodiscard]] int links() const { return m_links; }

    Guard& guard() override { return m_guard; }
    ValueFrame value(const std::string& name) override { return { name, false, 0, "" }; }
    void peerDisconnected(const std::string&, const std::string&) override { }

private:
    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
            if (error)
                return;
            ++m_links;
            std::make_shared<PeerSession>(*this, std::make_shared<PeerLink>(std::move(socket), m_hello),
                std::make_unique<TrackedConnection>(
                    std::make_shared<TrackedConnection::Registry>(ConnectionLimits {}), "peer"))
                ->start();
            accept();
        });
    }

    HelloFrame m_hello;
    Guard m_guard;
    boost::asio::ip::tcp::acceptor m_acceptor;
    int m_links = 0;
};

} // namespace tarragonhaven::testing
