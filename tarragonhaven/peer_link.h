#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/peer_frame.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace tarragonhaven {

// A TCP connection between two nodes that carries frames. It checks the HelloFrame of the peer and closes
// the connection if it receives bytes that are not a valid frame. At most one read and one write may be in
// progress at a time. Handlers run on the thread of the io_context; no handler runs after close(). After a
// failure the link stays closed and error() holds the reason.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    using CompletionHandler = std::function<void(bool)>;
    // Receives nothing if the link has failed or the peer has closed it.
    using FrameHandler = std::function<void(std::optional<PeerFrame>)>;

    PeerLink(boost::asio::io_context& io, HelloFrame localHello);
    // The time without an acknowledgement of the peer after which the link fails. On an idle link, TCP
    // keep-alive probes take the place of data.
    static constexpr util::Duration unresponsiveTimeout = std::chrono::seconds(3);
    // Creates a link over an accepted socket.
    PeerLink(boost::asio::ip::tcp::socket socket, HelloFrame localHello);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    // Connects, sends the HelloFrame of this node and checks the peer's.
    void connect(const Endpoint& endpoint, util::Duration timeout, CompletionHandler done);
    // Waits for the HelloFrame of the peer that has connected, checks it and sends this node's.
    void accept(util::Duration timeout, CompletionHandler done);
    // Writes one frame. The link fails if the frame is not written completely within `timeout`. `done`
    // receives whether it was.
    void write(const PeerFrame& frame, util::Duration timeout, CompletionHandler done);
    // Reads the next frame. The link fails if the frame does not arrive within `timeout`.
    void read(util::Duration timeout, FrameHandler handler);
    void close();
    // Calls `onClosed` if the peer closes the link before stopWatch() is called. No read may be in progress.
    void watchClose(std::function<void()> onClosed);
    void stopWatch();

    // Returns whether an idle link is still open and has no unread bytes.
    [[nodiscard]] bool isReusable();
    // Returns whether the peer has sent bytes that were not read, or has closed the link. No read may be in
    // progress.
    [[nodiscard]] bool hasUnread();
    // Returns the HelloFrame of the peer, or a default one while none has been accepted.
    [[nodiscard]] const HelloFrame& peerHello() const;
    // Returns why the link failed, for the log; empty if it has not failed.
    [[nodiscard]] const std::string& error() const;

private:
    class Rep;
    std::shared_ptr<Rep> m_rep;
};

} // namespace tarragonhaven
