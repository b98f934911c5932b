#pragma once

#include "server.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace rig {

// What an upstream writes of itself.
struct UpstreamEntry {
    Address address;
    std::string service;
    std::string zone;
    int slots = 5;
    std::int64_t born = 0;
    std::string state = "ready";
    int sequence = 1;
};

// A stand-in for the platform's store: ranges in one page, and watches that wait for changes.
class Store {
public:
    explicit Store(const Address& address);
    ~Store();
    Store(const Store&) = delete;
    Store& operator=(const Store&) = delete;

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    void putUpstream(const std::string& id, const UpstreamEntry& entry);
    void removeUpstream(const std::string& id);
    // Returns how many watches are waiting for a change.
    int waitingWatches();
    // Ends the connections of all watches that are waiting, without responses.
    void cutWatches();

private:
    bool handle(Connection& connection, const MessageHead& head);
    std::string range();
    // Returns nothing if the watch was cut.
    std::optional<std::string> watch(long after, int waitMs);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    long m_revision = 1;
    int m_waiting = 0;
    int m_cuts = 0;
    bool m_ended = false;
    // Items as the store sends them, by key.
    std::map<std::string, std::string> m_items;
    std::vector<std::pair<long, std::string>> m_events;
    std::unique_ptr<Server> m_server;
};

} // namespace rig
