// Choosing the better of two random targets balances load nearly as well as comparing all targets, and avoids
// herding: not all nodes choose the one target that looks best (M. Mitzenmacher, "The power of two choices in
// randomized load balancing", 2001).

#include "tarragonhaven/target_chooser.h"

#include <algorithm>
#include <map>

namespace tarragonhaven {

double costOf(const TargetView& view, double noSuccessPenalty)
{
    const double penalty = 1 + noSuccessPenalty * view.secondsSinceSuccess;
    return (1 + view.load) * view.slowdown * penalty
        / std::max(view.weight, chooser_detail::probationProbability);
}

namespace {

    // Leaves out targets outside of the data centre where the request is to run, or else targets in data
    // centres that it avoids, unless none would be left to queue at.
    std::vector<const TargetView*> inPlannedDataCentres(
        std::vector<const TargetView*> views, const ChoiceRequest& request)
    {
        const auto isOutside
            = [&request](const TargetView* view) { return view->target->dataCentre != *request.dataCentre; };
        const auto isAvoided = [&request](const TargetView* view) {
            return request.avoidedDataCentres.contains(view->target->dataCentre);
        };
        if (request.dataCentre && !std::all_of(views.begin(), views.end(), isOutside))
            std::erase_if(views, isOutside);
        else if (request.freeSlotOnly || !std::all_of(views.begin(), views.end(), isAvoided))
            std::erase_if(views, isAvoided);
        return views;
    }

} // namespace

namespace chooser_detail {

    std::vector<const TargetView*> usableTargets(
        const std::vector<TargetView>& views, const ChoiceRequest& request)
    {
        std::vector<const TargetView*> result;
        for (const auto& view : views) {
            const bool blocked = request.idempotent ? view.blocksIdempotent : view.blocksNonIdempotent;
            if ((blocked && !request.includeBlocked) || (view.limited && !request.includeLimited)
                || (view.full && request.freeSlotOnly))
                continue;
            const bool trusted
                = view.ejectionState == EjectionState::Active || view.ejectionState == EjectionState::Ramp;
            if (trusted && !view.leaving && !request.excluded.contains(view.target->name))
                result.push_back(&view);
        }
        return inPlannedDataCentres(std::move(result), request);
    }

    std::vector<const TargetView*> nearestWithCapacity(const std::vector<const TargetView*>& views,
        const ChoiceRequest& request, const std::function<int(const Target&)>& distance)
    {
        std::map<int, std::vector<const TargetView*>> byDistance;
        for (const auto* view : views)
            byDistance[distance(*view->target)].push_back(view);
        for (const auto& [distanceOfGroup, group] : byDistance) {
            const bool free = std::any_of(group.begin(), group.end(),
                [&request](const TargetView* view) { return view->load < request.spilloverLoad; });
            if (free)
                return group;
        }
        return request.freeSlotOnly && !byDistance.empty() ? byDistance.begin()->second : views;
    }

    TargetChoice chooseCheapest(const std::vector<const TargetView*>& views, const ChoiceRequest& request,
        const std::function<int(const Target&)>& distance)
    {
        const auto cost = [&request, &distance](const TargetView& view) {
            const bool remote = distance(*view.target) >= remoteDistance;
            return costOf(view, request.noSuccessPenalty) * (remote ? request.remoteCostFactor : 1);
        };
        const auto best = std::min_element(views.begin(), views.end(),
            [&cost](const TargetView* a, const TargetView* b) { return cost(*a) < cost(*b); });
        if (best == views.end())
            return { nullptr, {}, "no usable target" };
        const auto* target = (*best)->target;
        return { target, { { target->name, cost(**best) } }, "lowest cost of all usable targets" };
    }

    std::vector<const TargetView*> probationTargets(
        const std::vector<TargetView>& views, const ChoiceRequest& request)
    {
        std::vector<const TargetView*> result;
        if (!request.idempotent)
            return result;
        for (const auto& view : views) {
            const bool probeable = view.ejectionState == EjectionState::Probation && view.load == 0;
            if (probeable && !view.leaving && !request.excluded.contains(view.target->name))
                result.push_back(&view);
        }
        return result;
    }

} // namespace chooser_detail

} // namespace tarragonhaven
