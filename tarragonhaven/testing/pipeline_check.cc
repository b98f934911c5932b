#include "tarragonhaven/testing/pipeline_check.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace tarragonhaven::testing {

namespace {

    using Time = std::chrono::steady_clock::time_point;

    constexpr int okStatus = 200;

    class PipelineCheck {
    public:
        explicit PipelineCheck(const PipelineObservations& observations)
            : m_observations(observations)
        {
            for (const auto& [target, arrivals] : observations.arrivals) {
                for (const auto& arrival : arrivals) {
                    const auto [first, added] = m_firstArrivals.try_emplace(arrival.requestId, arrival.at);
                    first->second = std::min(first->second, arrival.at);
                }
            }
        }

        std::vector<std::string> run()
        {
            for (const auto& batch : m_observations.batches) {
                for (std::size_t i = 0; i < batch.requests.size(); ++i)
                    checkRequest(batch, i);
            }
            return std::move(m_violations);
        }

    private:
        [[nodiscard]] const Time* firstArrival(const PipelinedRequest& request) const
        {
            const auto found = m_firstArrivals.find(request.entry.id);
            return found == m_firstArrivals.end() ? nullptr : &found->second;
        }

        static bool isServed(const PipelinedRequest& request)
        {
            return request.entry.status == okStatus && request.entry.complete;
        }

        void checkRequest(const PipelinedBatch& batch, std::size_t index)
        {
            const auto& request = batch.requests[index];
            const auto& id = request.entry.id;
            if (request.entry.complete && request.answeredId != id)
                m_violations.push_back(
                    absl::StrCat(id, ": the response at its place is that of ", request.answeredId));
            if (batch.closing && index > *batch.closing && firstArrival(request))
                m_violations.push_back(
                    absl::StrCat(id, ": reached a target behind a request that closes the connection"));
            for (std::size_t before = 0; before < index; ++before) {
                const auto& earlier = batch.requests[before];
                if (!earlier.entry.idempotent || !request.entry.idempotent)
                    checkOrder(earlier, request);
            }
        }

        // Checks that the later request started after the response to the earlier one, if that was served.
        // The bytes of a request that was not served may reach a target at any later time.
        void checkOrder(const PipelinedRequest& earlier, const PipelinedRequest& later)
        {
            const auto* first = firstArrival(earlier);
            const auto* second = firstArrival(later);
            if (!first || !second || !isServed(earlier) || *second >= *first + m_observations.shortestRun)
                return;
            m_violations.push_back(absl::StrCat(later.entry.id, ": ran beside ", earlier.entry.id,
                " of the same connection, one of which is not idempotent"));
        }

        const PipelineObservations& m_observations;
        std::map<std::string, Time> m_firstArrivals;
        std::vector<std::string> m_violations;
    };

} // namespace

std::vector<std::string> findPipelineViolations(const PipelineObservations& observations)
{
    return PipelineCheck(observations).run();
}

} // namespace tarragonhaven::testing
