#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace rig {

// An IPv4 address and a port.
struct Address {
    std::string host;
    std::uint16_t port = 0;
    [[nodiscard]] std::string text() const { return host + ":" + std::to_string(port); }
};

// The start line and the header fields of an HTTP message. The names of fields are in lower case.
struct MessageHead {
    std::string startLine;
    std::map<std::string, std::string> fields;
    // Returns the value of a field, or an empty text.
    [[nodiscard]] std::string field(const std::string& name) const;
};

// A TCP connection with blocking calls and HTTP/1.1 framing. Every call fails once the connection has ended.
// end() may be called from another thread.
class Connection {
public:
    explicit Connection(int descriptor);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    // Returns the descriptor of a new connection, or -1.
    static int connectTo(const Address& address);

    bool write(const std::string& bytes);
    std::optional<MessageHead> readHead();
    // Reads the body that the head announces. Returns nothing if it is cut off.
    std::optional<std::string> readBody(const MessageHead& head);
    // Sets the time that a read may wait, in seconds.
    void setReadTimeout(int seconds) const;
    // Ends the connection in both directions, and wakes the thread that uses it.
    void end() const;

private:
    bool fill();
    std::optional<std::string> readLine();
    std::optional<std::string> readBytes(std::size_t count);

    int m_descriptor;
    std::string m_buffer;
};

// Returns a listening socket, or -1.
int listenAt(const Address& address);

} // namespace rig
