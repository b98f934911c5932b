// Page's cumulative sum test (E. S. Page, "Continuous inspection schemes", Biometrika 41, 1954). For latency,
// the step is the excess of the logarithm over the tolerated slowdown; for failures, it is the log likelihood
// ratio of a suspect failure share against a failure share that is normal for the service. Each step costs a
// few operations.

#include "tarragonhaven/target_evidence.h"

#include <algorithm>
#include <cmath>

namespace tarragonhaven {

namespace {

    // The weight of the previous value when a moving average is updated by one response. Low, so that a
    // change of the whole service soon shows in the averages with which each target is compared.
    constexpr double averageDecay = 0.75;
    // The suspect failure share is this multiple of the normal one, but neither below the option nor above
    // the maximum.
    constexpr double suspectShareFactor = 4;
    constexpr double maximumFailureShare = 0.9;

    double logMicroseconds(util::Duration duration)
    {
        return std::log2(std::max(1.0, std::chrono::duration<double, std::micro>(duration).count()));
    }

} // namespace

ReportDelta TargetEvidence::deltaFrom(const TargetReport& report) const
{
    const bool restarted = report.incarnation != m_last.incarnation;
    const bool superseded = m_supersededIncarnation != 0 && report.incarnation == m_supersededIncarnation;
    if (superseded || (!restarted && report.sequence <= m_last.sequence))
        return {};
    const TargetReport previous = restarted ? TargetReport {} : m_last;
    ReportDelta delta;
    delta.fresh = true;
    delta.successes = static_cast<int>(report.successes - previous.successes);
    delta.failures
        = static_cast<int>(report.failures + report.overdue - previous.failures - previous.overdue);
    if (delta.successes > 0)
        delta.meanLogLatency = (report.logLatencySum - previous.logLatencySum) / delta.successes;
    return delta;
}

ReportDelta TargetEvidence::recordReport(const TargetReport& report, const ServiceBaseline& baseline)
{
    const bool first = m_last.incarnation == 0;
    auto delta = deltaFrom(report);
    if (!delta.fresh)
        return delta;
    if (report.incarnation != m_last.incarnation)
        m_supersededIncarnation = m_last.incarnation;
    m_last = report;
    // Counts from before this node's first report of the guard say nothing about the present, so that report
    // counts as at most one success.
    if (first && delta.successes + delta.failures > 1) {
        delta.successes = std::min(delta.successes, 1);
        delta.failures = 0;
    }
    updateAverages(delta);
    addLatency(delta.meanLogLatency, delta.successes, baseline);
    addFailures(delta.failures, delta.successes, baseline);
    return delta;
}

void TargetEvidence::updateAverages(const ReportDelta& delta)
{
    const int count = delta.successes + delta.failures;
    if (count == 0)
        return;
    const double keep = m_samples == 0 ? 0 : std::pow(averageDecay, count);
    const double keepLatency = m_samples == 0 ? 0 : std::pow(averageDecay, delta.successes);
    if (delta.successes > 0)
        m_logLatency = keepLatency * m_logLatency + (1 - keepLatency) * delta.meanLogLatency;
    m_failureShare = keep * m_failureShare + (1 - keep) * delta.failures / count;
    m_samples += count;
}

void TargetEvidence::addLatency(double logLatency, int successes, const ServiceBaseline& baseline)
{
    if (!baseline.known || successes == 0)
        return;
    const double excess = logLatency - baseline.logLatency - m_options.toleratedLogSlowdown;
    const double step = std::clamp(excess, -m_options.maximumStep, m_options.maximumStep);
    m_latencyScore = std::clamp(m_latencyScore + step * successes, 0.0, m_options.maximumScore);
}

void TargetEvidence::addFailures(int failures, int successes, const ServiceBaseline& baseline)
{
    const double normal
        = std::max(m_options.normalFailureShare, std::min(baseline.failureShare, maximumFailureShare / 2));
    const double suspect
        = std::min(maximumFailureShare, std::max(m_options.suspectFailureShare, suspectShareFactor * normal));
    const double step
        = failures * std::log(suspect / normal) + successes * std::log((1 - suspect) / (1 - normal));
    m_failureScore = std::clamp(m_failureScore + step, 0.0, m_options.maximumScore);
}

void TargetEvidence::recordWaiting(
    util::Duration age, util::Duration previousAge, const ServiceBaseline& baseline)
{
    if (!baseline.known)
        return;
    const auto excessStep = [&](util::Duration waited) {
        const double excess = logMicroseconds(waited) - baseline.logLatency - m_options.toleratedLogWait;
        return std::clamp(excess, 0.0, m_options.maximumStep);
    };
    const double step = excessStep(age) - (previousAge > util::Duration {} ? excessStep(previousAge) : 0);
    m_latencyScore = std::clamp(m_latencyScore + step, 0.0, m_options.maximumScore);
}

void TargetEvidence::recordPathFailure(const ServiceBaseline& baseline) { addFailures(1, 0, baseline); }

void TargetEvidence::subtractCommon(double common)
{
    m_latencyScore = std::max(0.0, m_latencyScore - common);
    m_failureScore = std::max(0.0, m_failureScore - common);
}

void TargetEvidence::resetScores()
{
    m_latencyScore = 0;
    m_failureScore = 0;
}

double TargetEvidence::score() const { return std::max(m_latencyScore, m_failureScore); }

} // namespace tarragonhaven
