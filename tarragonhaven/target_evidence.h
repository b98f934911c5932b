#pragma once

#include "tarragonhaven/target_report.h"
#include "util/time.h"

namespace tarragonhaven {

// Settings of the tests in TargetEvidence.
struct EvidenceOptions {
    // Base-2 logarithm of the slowdown, relative to the other targets, at which a response neither raises nor
    // lowers the score.
    double toleratedLogSlowdown = 0.8;
    // A request without a first byte counts once its wait exceeds the others' time to first byte by this
    // base-2 logarithm.
    double toleratedLogWait = 2.0;
    // The most by which one response changes the latency score, so that a single long request does not cause
    // an ejection.
    double maximumStep = 3.0;
    double maximumScore = 60.0;
    // The failure share that is considered normal when the other targets fail less.
    double normalFailureShare = 0.01;
    // The lowest failure share that the test considers suspect.
    double suspectFailureShare = 0.15;
};

// The typical latency and failure share of a service: the medians over its targets without the target that is
// compared with them.
struct ServiceBaseline {
    // log2 of the microseconds to the first byte.
    double logLatency = 0;
    double failureShare = 0;
    // False while there are too few responses for a comparison.
    bool known = false;
};

// What a report adds to the previous one.
struct ReportDelta {
    int successes = 0;
    int failures = 0;
    double meanLogLatency = 0;
    // False for a report that is older than one seen before.
    bool fresh = false;
};

// One node's evidence against one target, as two sequential tests over all responses that the target's guard
// reports: one compares the time to first byte with that of the service's other targets, the other compares
// the failures with theirs. Each test is a cumulative sum that falls while the responses are as good as those
// of the others and rises while they are worse. The sum shows how certain the result is, regardless of the
// number of responses behind it.
class TargetEvidence {
public:
    explicit TargetEvidence(EvidenceOptions options = {})
        : m_options(options)
    {
    }

    // Records a report and compares what is new in it with the baseline.
    ReportDelta recordReport(const TargetReport& report, const ServiceBaseline& baseline);
    // Records that a request has waited for its first byte for `age` so far. `previousAge` is the age at
    // which the same request was recorded before, or zero.
    void recordWaiting(util::Duration age, util::Duration previousAge, const ServiceBaseline& baseline);
    // Records a failure that only this node saw, such as one on the path to the guard.
    void recordPathFailure(const ServiceBaseline& baseline);
    // Subtracts evidence that stands against the other targets as well.
    void subtractCommon(double common);
    // Resets the scores, but keeps the moving averages of the target.
    void resetScores();

    // Returns the higher of the two sums.
    [[nodiscard]] double score() const;
    // Moving averages of the target, and the number of successes and failures on which they are based.
    [[nodiscard]] double logLatency() const { return m_logLatency; }
    [[nodiscard]] double failureShare() const { return m_failureShare; }
    [[nodiscard]] long samples() const { return m_samples; }
    [[nodiscard]] const TargetReport& lastReport() const { return m_last; }

private:
    ReportDelta deltaFrom(const TargetReport& report) const;
    void addLatency(double logLatency, int successes, const ServiceBaseline& baseline);
    void addFailures(int failures, int successes, const ServiceBaseline& baseline);
    void updateAverages(const ReportDelta& delta);

    EvidenceOptions m_options;
    TargetReport m_last;
    // Incarnations are not ordered; reports of the incarnation before the last are late and are ignored.
    std::uint64_t m_supersededIncarnation = 0;
    double m_latencyScore = 0;
    double m_failureScore = 0;
    double m_logLatency = 0;
    double m_failureShare = 0;
    long m_samples = 0;
};

} // namespace tarragonhaven
