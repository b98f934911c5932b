#pragma once

#include "tarragonhaven/target_report.h"
#include "util/time.h"

namespace tarragonhaven {

// The evidence of one node against one target, as two sequential tests over every answer that the target's
// guard reports: one on the time to the first byte against that of the service's other targets, one on
// failures against theirs. Each is a cumulative sum that falls while answers are as good as those of the
// others and rises while they are worse; its height says how sure the finding is, however few or many answers
// it took.
struct EvidenceOptions {
    // Slower than the others by this factor, as a base-2 logarithm, counts neither way.
    double toleratedLogSlowdown = 0.8;
    // A request that still waits counts once it has waited longer than this, against the others' first byte.
    double toleratedLogWait = 2.0;
    // The most that one answer can add, so that a single long request condemns no target.
    double maximumStep = 3.0;
    double maximumScore = 60.0;
    // The failure share that is taken for normal when the others fail less.
    double normalFailureShare = 0.01;
    // The failure share that the test looks for, at least.
    double suspectFailureShare = 0.15;
};

// What is typical of the other targets of a service.
struct PeerBaseline {
    // log2 of the microseconds to the first byte.
    double logLatency = 0;
    double failureShare = 0;
    // False while too few answers have been seen to compare with.
    bool known = false;
};

// What one report added.
struct ReportDelta {
    int answers = 0;
    int failures = 0;
    double meanLogLatency = 0;
    // False for a report that is older than one seen before.
    bool fresh = false;
};

class TargetEvidence {
public:
    explicit TargetEvidence(EvidenceOptions options = {})
        : m_options(options)
    {
    }

    // Takes in a report and compares what is new in it with the baseline.
    ReportDelta recordReport(const TargetReport& report, const PeerBaseline& baseline);
    // Notes that a request has waited for its first byte for `age` so far. `previousAge` is the age at which
    // this request was noted before, or zero.
    void recordWaiting(util::Duration age, util::Duration previousAge, const PeerBaseline& baseline);
    // Notes a failure that only this node saw, as of the path to the guard.
    void recordPathFailure(const PeerBaseline& baseline);
    // Takes away evidence that stands against the other targets as well.
    void subtractCommon(double common);
    // Forgets the scores but not what is typical of the target.
    void resetScores();

    // The higher of the two sums.
    [[nodiscard]] double score() const;
    // Moving averages, and the number of answers and failures behind them.
    [[nodiscard]] double logLatency() const { return m_logLatency; }
    [[nodiscard]] double failureShare() const { return m_failureShare; }
    [[nodiscard]] long samples() const { return m_samples; }
    [[nodiscard]] const TargetReport& lastReport() const { return m_last; }

private:
    ReportDelta deltaFrom(const TargetReport& report) const;
    void addLatency(double logLatency, int answers, const PeerBaseline& baseline);
    void addFailures(int failures, int successes, const PeerBaseline& baseline);
    void updateAverages(const ReportDelta& delta);

    EvidenceOptions m_options;
    TargetReport m_last;
    // Incarnations are in no order; reports of the one before the last are late.
    std::uint64_t m_supersededIncarnation = 0;
    double m_latencyScore = 0;
    double m_failureScore = 0;
    double m_logLatency = 0;
    double m_failureShare = 0;
    long m_samples = 0;
};

} // namespace tarragonhaven
