#pragma once

#include "tarragonhaven/caller_sessions.h"
#include "tarragonhaven/testing/allow_all_admission.h"
#include "tarragonhaven/traffic_thread.h"

#include <string>
#include <vector>

namespace tarragonhaven::testing {

// The header names that an EntryNode uses.
HeaderNames entryNodeHeaderNames();

struct EntryNodeOptions {
    // The properties of all routes.
    util::Duration deadline = std::chrono::milliseconds(1000);
    util::Duration objective = std::chrono::milliseconds(600);
    bool idempotent = true;
    // Whether POST requests are idempotent too, if the others are.
    bool idempotentPosts = true;
    int attempts = 3;
    // HeaderNames::strictRefusals.
    bool strictRefusals = false;
    std::size_t bufferedResponseBytes = 1024 * 1024;
    CallerLimits callerLimits;
    PipelineLimits pipeline;
    ProgressLimits progress;
    SpillOptions spill;
    std::size_t memoryBoundBytes = 64 * 1024 * 1024;
};

// The part of a sidecar node that forwards requests: an entry that serves callers over sockets, and the guard
// of the given targets, on a thread of their own. Every request is admitted. The routes and keys are those of
// testDeclaration().
class EntryNode {
public:
    // The targets' names, addresses and data centres; each has four slots. The node is in "dc1".
    struct TargetAddress {
        std::string name;
        Endpoint address;
        std::string dataCentre = "dc1";
    };

    EntryNode(const EntryNodeOptions& options, const std::vector<TargetAddress>& targets);
    ~EntryNode();
    EntryNode(const EntryNode&) = delete;
    EntryNode& operator=(const EntryNode&) = delete;

    [[nodiscard]] const Endpoint& callerAddress() const { return m_callerAddress; }
    // Returns the number of slots in use at all targets.
    [[nodiscard]] int slotsInUse();
    // Returns the memory for bodies that are kept.
    [[nodiscard]] std::size_t heldBytes();
    // Returns the page of metrics of the entry.
    [[nodiscard]] std::string metrics();
    // Begins a planned stop, as a node does.
    void stop();
    // Ends the requests in progress as a node does at the end of its grace period.
    void abandonRequests();

private:
    // Makes a call on the thread of the node, and waits until it returns.
    void runOnThread(const std::function<void()>& call);

    EntryNodeOptions m_options;
    TrafficThread m_thread;
    Endpoint m_callerAddress;
    Guard m_guard;
    PeerPool m_peers;
    AllowAllAdmission m_admission;
    LogChannel m_log;
    TrafficMetrics m_metrics;
    Entry m_entry;
    PortCounters m_counters;
    CallerSessions m_callers;
};

} // namespace tarragonhaven::testing
