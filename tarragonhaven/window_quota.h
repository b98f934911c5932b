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

// Settings of a limit over a sliding window that all nodes enforce together.
struct QuotaOptions {
    util::Duration window = std::chrono::seconds(5);
    // How far the sum over all nodes may exceed a limit: by a share of the limit, plus a fixed number.
    double overshoot = 0.25;
    double slack = 20;
    // Remote usage older than this is not used at all.
    util::Duration remoteMaxAge = std::chrono::milliseconds(1500);
    // Remote usage up to this age is exact enough for a decision near a limit.
    util::Duration exactMaxAge = std::chrono::milliseconds(120);
    // A name with at least `busyReportRequests` unreported requests is reported `busyReportInterval` after
    // its last report; a name with fewer is reported after `idleReportInterval`.
    util::Duration busyReportInterval = std::chrono::milliseconds(250);
    int busyReportRequests = 2;
    util::Duration idleReportInterval = std::chrono::seconds(1);
    // Nothing is refused below this share of the limit. A fleet with five times the limit in requests uses up
    // the rest of the bound (1.25 times the limit by default) in a tenth of the window, which is longer than
    // two reports take.
    double farBelowShare = 0.75;
    // Whether the aggregator grants each admission beyond that share. Otherwise the node admits its own share
    // of the limit.
    bool granted = false;
};

// A limit over all nodes, and the part of it that a node may admit which cannot obtain remote usage.
struct QuotaLimit {
    double total = 0;
    double isolated = 0;

    friend auto operator<=>(const QuotaLimit&, const QuotaLimit&) = default;
    friend bool operator==(const QuotaLimit&, const QuotaLimit&) = default;
};

// Why an admission was granted or refused.
enum class QuotaReason {
    // All nodes together are far below the limit.
    FarBelow,
    // Within or beyond this node's share of the limit, which is in proportion to the requests that reached
    // this node. Also BeyondShare if all nodes together have used up the limit and a part of the slack.
    WithinShare,
    BeyondShare,
    // Remote usage is unknown or too old to decide: report this name to its aggregator at once, and decide
    // again when the reply has arrived or is overdue.
    Unsure,
    // The aggregator granted or denied the admission.
    Granted,
    Denied,
    // Remote usage cannot be obtained: within or beyond this node's even part of the bound.
    WithinEvenPart,
    BeyondEvenPart,
};

std::string_view toString(QuotaReason reason);

struct QuotaDecision {
    bool admitted = false;
    QuotaReason reason = QuotaReason::FarBelow;
    // What this node and all other nodes admitted in the window, the limit over all nodes, and the age of the
    // remote usage. `remote` is 0 if the decision was made without remote usage. `remoteAge` is meaningless
    // if no remote usage was ever received.
    std::uint32_t local = 0;
    std::uint32_t remote = 0;
    double limit = 0;
    util::Duration remoteAge {};

    friend auto operator<=>(const QuotaDecision&, const QuotaDecision&) = default;
    friend bool operator==(const QuotaDecision&, const QuotaDecision&) = default;
};

// Enforces, at one node, limits on what all nodes together admit under a name in a sliding window. A name is
// that of an organisation, whose requests are limited, or of a service, whose retries are limited. For each
// name, all nodes report what they admitted to one aggregator, which replies to each with the sum over the
// other nodes.
//
// While the sum stays well below the limit nothing is refused; remote usage is assumed to have grown in
// proportion to this node's own since the aggregator's last reply. Near the limit a node
// reports to the aggregator and waits for the reply before it decides. It then admits its share of the limit,
// which is in proportion to the requests that reached it. A node that gets no reply admits an even part of
// the bound, the same for each node.
//
// The sum over all nodes is to stay within the bound, limit x (1 + overshoot) + slack. See docs/PROOFS.md for
// the argument and for the cases that it does not cover.
class WindowQuota {
public:
    WindowQuota(QuotaOptions options, util::Time started)
        : m_options(options)
        , m_started(started)
    {
    }

    // Records one request under a name: a request of an organisation, or a first attempt of a service.
    void recordRequested(const std::string& name, util::Time now);
    // Decides on one admission under a limit, and counts it if granted. `nodes` is the number of nodes that
    // may admit. If `final` is set, the node decides with what it knows and never returns Unsure.
    QuotaDecision decide(
        const std::string& name, double limit, std::size_t nodes, util::Time now, bool final);
    QuotaDecision decide(const std::string& name, const QuotaLimit& limit, util::Time now, bool final);
    // Counts an admission that the aggregator granted, or one that no limit prevents.
    void recordGranted(const std::string& name, util::Time now);
    void recordUnlimited(const std::string& name, util::Time now);
    // Returns what was requested of this node in the window.
    double localRequested(const std::string& name, util::Time now);
    // Returns whether the sum over the other nodes is known and recent.
    [[nodiscard]] bool knowsRemote(const std::string& name, util::Time now) const;
    // Returns what was requested of all nodes in the window, as far as this node knows.
    double fleetRequested(const std::string& name, util::Time now);
    // Returns what this node admitted under a name in the window, and what was requested of it.
    [[nodiscard]] QuotaUsage localUsage(const std::string& name, util::Time now);
    // Returns whether so much is admitted under a limit that the usage of nodes without a recent report
    // matters.
    [[nodiscard]] static bool nearLimit(double admitted, double limit);
    // Returns the part of a limit to reserve for nodes that are cut off from the others: what they may admit
    // unreported, less the part of the permitted excess over the limit that is set aside for them.
    [[nodiscard]] double reserveForUnresponsive(
        std::size_t unresponsive, double limit, std::size_t nodes) const;
    // Stores the remote usage of a name. Names without local requests are ignored.
    void updateRemote(const RemoteQuotaUsage& remote, util::Time now);
    // Returns the reports that are due, and that of the name `urgent` whether due or not. The caller has to
    // send them, because they count as sent.
    std::vector<QuotaUsage> takeReports(util::Time now, const std::string& urgent = {});
    // Removes names without a request for two windows.
    void removeIdle(util::Time now);

private:
    struct NameUsage {
        explicit NameUsage(util::Duration window)
            : admitted(window)
            , requested(window)
            , unlimited(window)
        {
        }
        SlidingWindowCounter admitted;
        SlidingWindowCounter requested;
        SlidingWindowCounter unlimited;
        std::optional<RemoteQuotaUsage> remote;
        util::Time remoteReceivedAt {};
        util::Time lastRequestedAt {};
        util::Time lastReportAt {};
        int unreportedRequests = 0;
        std::uint32_t admittedSinceRemote = 0;
    };

    NameUsage& usageOf(const std::string& name);
    void recordAdmitted(NameUsage& usage, util::Time now) const;
    // Returns whether the node has run for less than the window.
    [[nodiscard]] bool recentlyStarted(util::Time now) const { return now - m_started < m_options.window; }
    [[nodiscard]] QuotaUsage makeReport(const std::string& name, NameUsage& usage, util::Time now) const;
    [[nodiscard]] bool isReportDue(const NameUsage& usage, util::Time now) const;
    [[nodiscard]] bool isRemoteUsable(const NameUsage& usage, util::Time now) const;
    // Decides without counting the admission.
    [[nodiscard]] QuotaDecision evaluate(
        NameUsage& usage, const QuotaLimit& limit, util::Time now, bool final) const;
    // Returns the part of the bound that a node without remote usage may admit in a window.
    [[nodiscard]] double evenPart(double limit, std::size_t nodes) const;
    // Decides by the isolated part alone. Always final.
    [[nodiscard]] QuotaDecision evaluateWithoutRemote(
        NameUsage& usage, const QuotaLimit& limit, util::Time now) const;

    QuotaOptions m_options;
    util::Time m_started;
    std::map<std::string, NameUsage> m_usages;
};

} // namespace tarragonhaven
