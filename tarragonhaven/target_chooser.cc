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

namespace chooser_detail {

    std::vector<const TargetView*> usableTargets(
        const std::vector<TargetView>& views, const ChoiceRequest& request)
    {
        std::vector<const TargetView*> result;
        for (const auto& view : views) {
            const bool blocked = request.idempotent ? view.blocksIdempotent : view.blocksNonIdempotent;
            if ((blocked && !request.includeBlocked) || (view.limited && !request.includeLimited))
                continue;
            const bool trusted
                = view.ejectionState == EjectionState::Active || view.ejectionState == EjectionState::Ramp;
            if (trusted && !view.leaving && !request.excluded.contains(view.target->name))
                result.push_back(&view);
        }
        return result;
    }

    std::vector<const TargetView*> nearestWithCapacity(const std::vector<const TargetView*>& views,
        double spilloverLoad, const std::function<int(const Target&)>& distance)
    {
        std::map<int, std::vector<const TargetView*>> byDistance;
        for (const auto* view : views)
            byDistance[distance(*view->target)].push_back(view);
        for (const auto& [distanceOfGroup, group] : byDistance) {
            const bool free = std::any_of(group.begin(), group.end(),
                [spilloverLoad](const TargetView* view) { return view->load < spilloverLoad; });
            if (free)
                return group;
        }
        return views;
    }

    TargetChoice chooseCheapest(const std::vector<const TargetView*>& views, double noSuccessPenalty)
    {
        const auto best = std::min_element(
            views.begin(), views.end(), [noSuccessPenalty](const TargetView* a, const TargetView* b) {
                return costOf(*a, noSuccessPenalty) < costOf(*b, noSuccessPenalty);
            });
        if (best == views.end())
            return { nullptr, {}, "no usable target" };
        const auto* target = (*best)->target;
        return { target, { { target->name, costOf(**best, noSuccessPenalty) } },
            "lowest cost of all usable targets" };
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
