#include "store.h"

#include <chrono>

namespace rig {

namespace {

    std::string encodeBase64(const std::string& text)
    {
        static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        constexpr unsigned bitsPerDigit = 6;
        constexpr unsigned bitsPerByte = 8;
        constexpr unsigned lastDigit = 63;
        std::string result;
        unsigned bits = 0;
        unsigned value = 0;
        for (const unsigned char character : text) {
            value = (value << bitsPerByte) | character;
            for (bits += bitsPerByte; bits >= bitsPerDigit;) {
                bits -= bitsPerDigit;
                result += digits[(value >> bits) & lastDigit];
            }
        }
        if (bits > 0)
            result += digits[(value << (bitsPerDigit - bits)) & lastDigit];
        result.append((4 - result.size() % 4) % 4, '=');
        return result;
    }

    // Returns the number that follows `name` in the query, or 0.
    long queryNumber(const std::string& target, const std::string& name)
    {
        const auto found = target.find("&" + name + "=");
        return found == std::string::npos
            ? 0
            : std::strtol(target.c_str() + found + name.size() + 2, nullptr, 10);
    }

    void appendItem(std::string& list, const std::string& item) { list += (list.empty() ? "" : ",") + item; }

} // namespace

Store::Store(const Address& address)
    : m_server(std::make_unique<Server>(address,
        [this](Connection& connection, const MessageHead& head) { return handle(connection, head); }))
{
}

Store::~Store()
{
    {
        const std::lock_guard lock(m_mutex);
        m_ended = true;
    }
    m_changed.notify_all();
    m_server.reset();
}

void Store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    const auto revision = std::to_string(++m_revision);
    m_items[key] = "{\"key\":\"" + key + "\",\"value\":\"" + encodeBase64(value)
        + "\",\"revision\":" + revision + ",\"created_at\":" + revision + ",\"lease\":0}";
    m_events.emplace_back(m_revision, m_items[key]);
    m_changed.notify_all();
}

void Store::remove(const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    ++m_revision;
    m_items.erase(key);
    m_events.emplace_back(m_revision,
        "{\"key\":\"" + key + "\",\"revision\":" + std::to_string(m_revision) + ",\"deleted\":true}");
    m_changed.notify_all();
}

void Store::putUpstream(const std::string& id, const UpstreamEntry& entry)
{
    put("servers/" + id,
        "{\"address\":\"" + entry.address.text() + "\",\"born\":" + std::to_string(entry.born)
            + ",\"info\":{\"service\":\"" + entry.service + "\",\"version\":\"v1\",\"zone\":\"" + entry.zone
            + "\",\"concurrency\":" + std::to_string(entry.slots) + "},\"status\":{\"state\":\"" + entry.state
            + "\",\"sequence\":" + std::to_string(entry.sequence) + ",\"cold_left_ms\":0}}");
}

void Store::removeUpstream(const std::string& id) { remove("servers/" + id); }

std::string Store::range()
{
    const std::lock_guard lock(m_mutex);
    std::string items;
    for (const auto& [key, item] : m_items)
        appendItem(items, item);
    return "{\"items\":[" + items + "],\"has_more\":false,\"as_of\":" + std::to_string(m_revision) + "}";
}

int Store::waitingWatches()
{
    const std::lock_guard lock(m_mutex);
    return m_waiting;
}

void Store::cutWatches()
{
    const std::lock_guard lock(m_mutex);
    ++m_cuts;
    m_changed.notify_all();
}

std::optional<std::string> Store::watch(long after, int waitMs)
{
    std::unique_lock lock(m_mutex);
    const int cutsBefore = m_cuts;
    ++m_waiting;
    m_changed.wait_for(lock, std::chrono::milliseconds(waitMs),
        [&] { return m_ended || m_cuts != cutsBefore || m_revision > after; });
    --m_waiting;
    if (m_cuts != cutsBefore)
        return std::nullopt;
    std::string events;
    for (const auto& [revision, event] : m_events) {
        if (revision > after)
            appendItem(events, event);
    }
    return "{\"events\":[" + events + "],\"as_of\":" + std::to_string(m_revision) + "}";
}

bool Store::handle(Connection& connection, const MessageHead& head)
{
    const auto target = head.startLine.substr(head.startLine.find(' ') + 1);
    const bool watches = target.find("/v1/kv-watch") == 0;
    const auto body = watches
        ? watch(queryNumber(target, "after"), static_cast<int>(queryNumber(target, "wait_ms")))
        : range();
    if (!body)
        return false;
    connection.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body->size()) + "\r\nConnection: close\r\n\r\n" + *body);
    return false;
}

} // namespace rig
