#pragma once

#include "tarragonhaven/limits/quota_node.h"
#include "tarragonhaven/testing/event_queue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace tarragonhaven::testing {

// Nodes that enforce limits together over a virtual network and a virtual clock. Messages between nodes of
// three data centres take 0.1 to 4 ms. Nodes can be killed and started, and paths between nodes interrupted.
class QuotaFleet {
public:
    // Returns whether a message of one node does not reach another one.
    using Interruption = std::function<bool(std::size_t from, std::size_t to)>;

    struct Shape {
        std::size_t nodes = 33;
        FleetPolicy policy;
        // The limits of organisations over the window.
        std::map<std::string, double> limits;
        // The share of all messages that is lost.
        double lossShare = 0;
    };

    QuotaFleet(Shape shape, unsigned seed);

    // Runs `action` at a time that is not in the past.
    void at(util::Time time, std::function<void()> action);
    void runUntil(util::Time end);
    // Returns a node, or null while it is killed.
    [[nodiscard]] QuotaNode* node(std::size_t index) { return m_nodes[index].get(); }
    // Sends what the last calls of a node have produced. Must follow each call.
    void flush(std::size_t index);
    // A killed node loses its state and the messages on their way to it.
    void kill(std::size_t index);
    void start(std::size_t index);
    void interrupt(Interruption interruption) { m_interruption = std::move(interruption); }
    void reconnect() { m_interruption = {}; }
    // Returns the first `count` nodes of a random order.
    std::vector<std::size_t> randomNodes(std::size_t count);

    [[nodiscard]] util::Time now() const { return m_now; }
    [[nodiscard]] std::size_t size() const { return m_nodes.size(); }
    [[nodiscard]] std::mt19937& random() { return m_random; }
    [[nodiscard]] std::uint64_t messages() const { return m_messages; }
    [[nodiscard]] std::uint64_t bytes() const { return m_bytes; }

private:
    void send(std::size_t from, std::size_t to, const ControlMessage& message);
    void deliver(std::size_t from, std::size_t to, const ControlMessage& message);
    void scheduleTick(std::size_t index, std::uint64_t start);
    [[nodiscard]] util::Duration delay(std::size_t from, std::size_t to);

    Shape m_shape;
    std::mt19937 m_random;
    util::Time m_now { std::chrono::hours(1) };
    EventQueue m_events;
    std::vector<std::unique_ptr<QuotaNode>> m_nodes;
    // How often each node was started, so that events for an earlier start are ignored.
    std::vector<std::uint64_t> m_starts;
    std::vector<std::string> m_names;
    std::map<InstanceName, std::size_t> m_indexes;
    Interruption m_interruption;
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytes = 0;
};

} // namespace tarragonhaven::testing
