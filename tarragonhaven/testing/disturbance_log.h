#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace tarragonhaven::testing {

// When faults disturbed the nodes of a fleet, so that checks can tell what a node was able to know. Not
// thread-safe.
class DisturbanceLog {
public:
    using Time = std::chrono::steady_clock::time_point;
    enum class Kind {
        // The store does not serve any node, or has lost changes that are not written again yet.
        Store,
        StoreContent,
        // A node cannot reach the store, or its target.
        StorePath,
        TargetPath,
        // The process of a node does not run.
        Process,
    };
    // The node to state for disturbances that concern all nodes.
    static constexpr int allNodes = -1;

    // Begins a disturbance. Does nothing if it is in progress.
    void begin(Kind kind, int node, Time now) { m_begun.try_emplace({ kind, node }, now); }
    // Ends a disturbance. Does nothing if it is not in progress.
    void end(Kind kind, int node, Time now);
    // Records that the process of a node starts, which knows nothing.
    void recordStart(int node, Time now) { m_starts[node].push_back(now); }

    // Returns whether a disturbance overlaps the given time.
    [[nodiscard]] bool overlaps(Kind kind, int node, Time from, Time to) const;
    // Returns whether a node must know of a change of the store that was made at `changed`: since then, and
    // since its last start, it was able to read the store for `delay` without a pause, up to `at`.
    [[nodiscard]] bool mustKnow(int node, Time changed, std::chrono::milliseconds delay, Time at) const;

private:
    using Key = std::pair<Kind, int>;
    using Span = std::pair<Time, Time>;

    // Returns the disturbances of a kind; those in progress end in the future.
    [[nodiscard]] std::vector<Span> spans(Kind kind, int node) const;

    std::map<Key, Time> m_begun;
    std::map<Key, std::vector<Span>> m_ended;
    std::map<int, std::vector<Time>> m_starts;
};

} // namespace tarragonhaven::testing
