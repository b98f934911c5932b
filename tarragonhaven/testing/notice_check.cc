#include "tarragonhaven/testing/notice_check.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <optional>

namespace tarragonhaven::testing {

namespace {

    using Time = std::chrono::steady_clock::time_point;

    class NoticeCheck {
    public:
        NoticeCheck(const NoticeObservations& observations, const NoticeBounds& bounds)
            : m_observations(observations)
            , m_bounds(bounds)
        {
            for (const auto& request : observations.requests)
                m_requests.emplace(request.id, &request);
        }

        std::vector<std::string> run()
        {
            for (const auto& period : m_observations.periods) {
                collectPassedOn(period);
                if (period.notice.requestsPerSecond)
                    checkLimit(period);
                if (period.notice.leaving)
                    checkLeaving(period);
            }
            return std::move(m_violations);
        }

    private:
        [[nodiscard]] const std::vector<TargetArrival>& arrivals(const NoticePeriod& period) const
        {
            static const std::vector<TargetArrival> none;
            const auto found = m_observations.arrivals.find(period.target);
            return found == m_observations.arrivals.end() ? none : found->second;
        }

        [[nodiscard]] bool interrupted(int node, Time from, Time to) const
        {
            return std::any_of(m_observations.interruptions.begin(), m_observations.interruptions.end(),
                [&](const NodeInterruption& item) {
                    return item.node == node && item.at >= from && item.at <= to;
                });
        }

        // Collects when each node passed on a response of the period with its notice.
        void collectPassedOn(const NoticePeriod& period)
        {
            m_passedOn.clear();
            for (const auto& request : m_observations.requests) {
                const bool passedOn = request.target == period.target && request.complete
                    && request.notice == period.notice && request.sent >= period.from;
                if (passedOn)
                    m_passedOn[request.node].push_back(request.ended);
            }
        }

        // Returns when the node first passed the notice on, among the times since which nothing has
        // interrupted the node until `until`.
        [[nodiscard]] std::optional<Time> firstPassedOn(int node, Time until) const
        {
            std::optional<Time> first;
            const auto times = m_passedOn.find(node);
            if (times == m_passedOn.end())
                return first;
            for (const auto time : times->second) {
                if (time <= until && (!first || time < *first) && !interrupted(node, time, until))
                    first = time;
            }
            return first;
        }

        void checkLimit(const NoticePeriod& period)
        {
            std::vector<Time> counted;
            for (const auto& arrival : arrivals(period)) {
                const auto request = m_requests.find(arrival.requestId);
                if (arrival.at < period.from + m_bounds.limitDelay || arrival.at > period.to
                    || request == m_requests.end())
                    continue;
                const auto passedOn = firstPassedOn(request->second->node, arrival.at);
                if (passedOn && *passedOn <= arrival.at - m_bounds.nodeDelay)
                    counted.push_back(arrival.at);
            }
            std::sort(counted.begin(), counted.end());
            std::size_t first = 0;
            std::size_t most = 0;
            for (std::size_t last = 0; last < counted.size(); ++last) {
                while (counted[last] - counted[first] >= m_bounds.window)
                    ++first;
                most = std::max(most, last - first + 1);
            }
            const double limit = *period.notice.requestsPerSecond;
            const double windowSeconds = std::chrono::duration<double>(m_bounds.window).count();
            const double allowed = m_bounds.factor * limit * windowSeconds + m_bounds.slack;
            if (static_cast<double>(most) > allowed)
                m_violations.push_back(absl::StrCat("target ", period.target, " named a limit of ", limit,
                    " requests per second and got ", most, " in a window, ", allowed, " are allowed"));
        }

        void checkLeaving(const NoticePeriod& period)
        {
            for (const auto& arrival : arrivals(period)) {
                const auto request = m_requests.find(arrival.requestId);
                if (arrival.at < period.from || arrival.at > period.to || request == m_requests.end())
                    continue;
                const auto passedOn = firstPassedOn(request->second->node, arrival.at);
                if (!passedOn || request->second->sent <= *passedOn + m_bounds.drainDelay)
                    continue;
                const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(
                    request->second->sent - *passedOn);
                m_violations.push_back(
                    absl::StrCat("target ", period.target, " got request ", arrival.requestId, ", sent ",
                        late.count(), " ms after its node had passed on that the target is leaving"));
            }
        }

        const NoticeObservations& m_observations;
        NoticeBounds m_bounds;
        std::map<std::string, const LedgerEntry*> m_requests;
        std::map<int, std::vector<Time>> m_passedOn;
        std::vector<std::string> m_violations;
    };

} // namespace

std::vector<std::string> findNoticeViolations(
    const NoticeObservations& observations, const NoticeBounds& bounds)
{
    return NoticeCheck(observations, bounds).run();
}

} // namespace tarragonhaven::testing
