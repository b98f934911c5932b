#include "tarragonhaven/testing/evacuation_check.h"

#include <absl/strings/str_cat.h>

namespace tarragonhaven::testing {

std::vector<std::string> findEvacuationViolations(const EvacuationObservations& observations,
    const DisturbanceLog& disturbances, const EvacuationBounds& bounds)
{
    using Kind = DisturbanceLog::Kind;
    std::map<std::string, const LedgerEntry*> requests;
    for (const auto& request : observations.requests)
        requests.emplace(request.id, &request);
    std::vector<std::string> violations;
    const auto check = [&](const EvacuationPeriod& period, const std::string& target, int guard,
                           const TargetArrival& arrival) {
        const auto at = arrival.at;
        if (at < period.from + bounds.reaction || at >= period.to)
            return;
        const bool guardKnew = disturbances.mustKnow(guard, period.from, bounds.knowledge, at)
            && !disturbances.overlaps(Kind::TargetPath, guard, at - bounds.reaction, at);
        const auto found = requests.find(arrival.requestId);
        const auto* request = found == requests.end() ? nullptr : found->second;
        const bool entryKnew = request && request->sent >= period.from + bounds.reaction
            && disturbances.mustKnow(request->node, period.from, bounds.knowledge, request->sent);
        if (!guardKnew && !entryKnew)
            return;
        const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(at - period.from);
        violations.push_back(absl::StrCat("target ", target, " of the evacuated data centre ",
            period.dataCentre, " got request ", arrival.requestId, " ", late.count(),
            " ms after the evacuation was requested; ", guardKnew ? "its guard" : "the request's entry",
            " must have known"));
    };
    for (const auto& period : observations.periods) {
        for (const auto& [target, arrivals] : observations.arrivals) {
            const auto guard = observations.guards.find(target);
            if (guard == observations.guards.end()
                || observations.dataCentres.at(static_cast<std::size_t>(guard->second)) != period.dataCentre)
                continue;
            for (const auto& arrival : arrivals)
                check(period, target, guard->second, arrival);
        }
    }
    return violations;
}

} // namespace tarragonhaven::testing
