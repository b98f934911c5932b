#pragma once

#include "tarragonhaven/target_notice.h"
#include "tarragonhaven/testing/fake_target.h"
#include "tarragonhaven/testing/request_ledger.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace tarragonhaven::testing {

// A period in which every response of a target contains the same notice. A target that is replaced begins a
// new period, even under the same name.
struct NoticePeriod {
    std::string target;
    TargetNotice notice;
    std::chrono::steady_clock::time_point from {};
    std::chrono::steady_clock::time_point to {};
};

// The moment at which a node was killed, stopped, frozen, resumed or started. What the node learned before is
// not held against it afterwards.
struct NodeInterruption {
    int node = 0;
    std::chrono::steady_clock::time_point at {};
};

// What the users require of nodes that have passed on a notice.
struct NoticeBounds {
    // A limit binds this long after the target first named it, and a node this long after it has passed the
    // limit on.
    std::chrono::milliseconds limitDelay { 3000 };
    std::chrono::milliseconds nodeDelay { 500 };
    // In any `window`, at most `factor` times the requests that the limit allows, plus `slack`, arrive.
    std::chrono::milliseconds window { 4000 };
    double factor = 1.5;
    double slack = 5;
    // A request that was sent later than this after its node had passed on a leaving notice does not arrive.
    std::chrono::milliseconds drainDelay { 2000 };
};

// What a soak observed of the notices of targets.
struct NoticeObservations {
    std::vector<LedgerEntry> requests;
    // The requests that arrived, by target name.
    std::map<std::string, std::vector<TargetArrival>> arrivals;
    std::vector<NoticePeriod> periods;
    std::vector<NodeInterruption> interruptions;
};

// Returns a description of each period in which the nodes broke a bound: a target got more requests than its
// limit allows from nodes that had passed the limit on, or a request after its leaving notice from a node
// that had passed the notice on.
std::vector<std::string> findNoticeViolations(
    const NoticeObservations& observations, const NoticeBounds& bounds = {});

} // namespace tarragonhaven::testing
