#pragma once

#include "tarragonhaven/quota_usage.h"
#include "tarragonhaven/sliding_window_counter.h"
#include "util/time.h"

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonhaven {

struct QuotaOptions {
    util::Duration window = std::chrono::seconds(5);
    // By how much the sum over all nodes may exceed a limit: a share of it, and a number.
    double overshoot = 0.25;
    double slack = 20;
    // How long another node's word on use elsewhere is relied on.
    util::Duration remoteMaxAge = std::chrono::milliseconds(1500);
    // How long it is exact enough to decide near a limit.
    util::Duration exactMaxAge = std::chrono::milliseconds(120);
    // The least time between two reports of one name, after so many new asks or anything admitted that
    // counts; and the time after which any new ask is reported.
    util::Duration busyReportInterval = std::chrono::milliseconds(250);
    int busyReportRequests = 2;
    util::Duration idleReportInterval = std::chrono::seconds(1);
};

// Why something was admitted or refused.
enum class QuotaReason {
    // All nodes together are far from the limit.
    FarBelow,
    // Within or beyond this node's part of the limit, by what is asked of it and elsewhere.
    WithinShare,
    BeyondShare,
    // Use elsewhere is not known well enough to say: ask for it and decide again.
    Unsure,
    // Use elsewhere cannot be learned: within or beyond this node's even part.
    WithinEvenPart,
    BeyondEvenPart,
};

std::string_view toString(QuotaReason reason);

struct QuotaDecision {
    bool admitted = false;
    QuotaReason reason = QuotaReason::FarBelow;
    // Admitted in the window at this node and elsewhere, the limit over all nodes, and the age of what is
    // known of elsewhere.
    std::uint32_t local = 0;
    std::uint32_t remote = 0;
    double limit = 0;
    util::Duration remoteAge {};

    friend auto operator<=>(const QuotaDecision&, const QuotaDecision&) = default;
    friend bool operator==(const QuotaDecision&, const QuotaDecision&) = default;
};

// One node's part in keeping what is admitted under a name within a limit over a sliding window and all
// nodes: an organisation's requests, or a service's retries. Nodes report what they admitted to one node for
// each name, which answers with the sum of the others'. While all together stay well below the limit nothing
// is refused; others are taken to have grown as this node has since their last word. Near the limit a node
// asks before it decides, and admits the part of the limit that it has of all that is asked. A node that gets
// no answer admits an even part.
//
// The sum over all nodes is to stay within limit x (1 + overshoot) + slack. See docs/PROOFS.md for what
// holds that up and what is not covered.
class WindowQuota {
public:
    WindowQuota(QuotaOptions options, util::Time started)
        : m_options(options)
        , m_started(started)
    {
    }

    // Notes that something is asked for under a name.
    void recordRequested(const std::string& name, util::Time now);
    // Decides on one admission under a limit, and counts it. `nodes` is the number of nodes that may admit.
    // A decision is never Unsure when it is final.
    QuotaDecision decide(
        const std::string& name, double limit, std::size_t nodes, util::Time now, bool final);
    // What was asked for in the window at all nodes, as far as this one knows.
    double fleetRequested(const std::string& name, util::Time now);
    // What this node has under a name now.
    [[nodiscard]] QuotaUsage localUsage(const std::string& name, util::Time now);
    // Whether so much is admitted under a limit that nodes which are not heard of matter.
    [[nodiscard]] static bool nearLimit(double admitted, double limit);
    // The part of a limit that is left to nodes that are cut off from the others: what they may admit
    // unheard, beyond what the sum may exceed the limit by.
    [[nodiscard]] double reserveForUnresponsive(
        std::size_t unresponsive, double limit, std::size_t nodes) const;
    void updateRemote(const RemoteQuotaUsage& remote, util::Time now);
    // The reports that are due, and that of `urgent`.
    std::vector<QuotaUsage> takeReports(util::Time now, const std::string& urgent = {});
    // Drops names that nothing was asked for under for two windows.
    void removeIdle(util::Time now);

private:
    struct NameUsage {
        explicit NameUsage(util::Duration window)
            : admitted(window)
            , requested(window)
        {
        }
        SlidingWindowCounter admitted;
        SlidingWindowCounter requested;
        std::optional<RemoteQuotaUsage> remote;
        util::Time remoteReceivedAt {};
        util::Time lastRequestedAt {};
        util::Time lastReportAt {};
        int unreportedRequests = 0;
        std::uint32_t admittedSinceRemote = 0;
    };

    NameUsage& usageOf(const std::string& name);
    // Whether the node has run for less than the window.
    [[nodiscard]] bool recentlyStarted(util::Time now) const { return now - m_started < m_options.window; }
    [[nodiscard]] QuotaUsage makeReport(const std::string& name, NameUsage& usage, util::Time now) const;
    [[nodiscard]] bool isReportDue(const NameUsage& usage, util::Time now) const;
    [[nodiscard]] bool isRemoteUsable(const NameUsage& usage, util::Time now) const;
    [[nodiscard]] QuotaDecision evaluate(
        NameUsage& usage, double limit, std::size_t nodes, util::Time now, bool final) const;
    // What a node may admit in a window that hears of no other.
    [[nodiscard]] double evenPart(double limit, std::size_t nodes) const;
    [[nodiscard]] QuotaDecision evaluateWithoutRemote(
        NameUsage& usage, double limit, std::size_t nodes, util::Time now) const;

    QuotaOptions m_options;
    util::Time m_started;
    std::map<std::string, NameUsage> m_usages;
};

} // namespace tarragonhaven
