#include "connection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace rig {

namespace {

    constexpr std::size_t readSize = 64 * 1024;
    constexpr int backlog = 256;
    constexpr int hexadecimal = 16;

    sockaddr_in toSocketAddress(const Address& address)
    {
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(address.port);
        inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
        return result;
    }

    void setOption(int descriptor, int level, int option)
    {
        const int on = 1;
        setsockopt(descriptor, level, option, &on, sizeof(on));
    }

} // namespace

std::string MessageHead::field(const std::string& name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

Connection::Connection(int descriptor)
    : m_descriptor(descriptor)
{
    setOption(m_descriptor, IPPROTO_TCP, TCP_NODELAY);
}

Connection::~Connection() { close(m_descriptor); }

int Connection::connectTo(const Address& address)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto target = toSocketAddress(address);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) == 0)
        return descriptor;
    close(descriptor);
    return -1;
}

bool Connection::write(const std::string& bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const auto count = send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Connection::fill()
{
    std::string part(readSize, '\0');
    const auto count = recv(m_descriptor, part.data(), part.size(), 0);
    if (count <= 0)
        return false;
    m_buffer.append(part, 0, static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> Connection::readLine()
{
    auto end = m_buffer.find("\r\n");
    while (end == std::string::npos) {
        if (!fill())
            return std::nullopt;
        end = m_buffer.find("\r\n");
    }
    auto line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return line;
}

std::optional<std::string> Connection::readBytes(std::size_t count)
{
    while (m_buffer.size() < count) {
        if (!fill())
            return std::nullopt;
    }
    auto bytes = m_buffer.substr(0, count);
    m_buffer.erase(0, count);
    return bytes;
}

std::optional<MessageHead> Connection::readHead()
{
    MessageHead head;
    auto line = readLine();
    if (!line)
        return std::nullopt;
    head.startLine = *line;
    for (line = readLine(); line && !line->empty(); line = readLine()) {
        const auto colon = line->find(':');
        auto name = line->substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
            [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
        const auto begin = line->find_first_not_of(' ', std::min(colon, line->size() - 1) + 1);
        head.fields[name] = begin == std::string::npos ? std::string() : line->substr(begin);
    }
    return line ? std::optional(head) : std::nullopt;
}

std::optional<std::string> Connection::readBody(const MessageHead& head)
{
    if (head.field("transfer-encoding") != "chunked") {
        const auto length = head.field("content-length");
        return length.empty() ? std::optional(std::string()) : readBytes(std::stoul(length));
    }
    std::string body;
    while (true) {
        const auto line = readLine();
        if (!line)
            return std::nullopt;
        const auto size = std::stoul(*line, nullptr, hexadecimal);
        const auto part = readBytes(size);
        if (!part || !readLine())
            return std::nullopt;
        if (size == 0)
            return body;
        body += *part;
    }
}

void Connection::setReadTimeout(int seconds) const
{
    const timeval timeout { seconds, 0 };
    setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
}

void Connection::end() const { shutdown(m_descriptor, SHUT_RDWR); }

int listenAt(const Address& address)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setOption(descriptor, SOL_SOCKET, SO_REUSEADDR);
    const auto local = toSocketAddress(address);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) == 0
        && listen(descriptor, backlog) == 0)
        return descriptor;
    close(descriptor);
    return -1;
}

} // namespace rig
