// Two choices out of many even load out nearly as well as the full comparison, without herding to the one
// target that looks best to every node (M. Mitzenmacher, "The power of two choices in randomized load
// balancing", 2001).

#include "tarragonhaven/target_chooser.h"

#include <algorithm>
#include <map>

namespace tarragonhaven {

double costOf(const TargetView& view, double unprovenWeight)
{
    const double unproven = 1 + unprovenWeight * view.secondsSinceSuccess;
    return (1 + view.load) * view.slowdown * unproven
        / std::max(view.weight, chooser_detail::probationChance);
}

namespace chooser_detail {

    std::vector<const TargetView*> usable(const std::vector<TargetView>& views, const ChoiceRequest& request)
    {
        std::vector<const TargetView*> result;
        for (const auto& view : views) {
            const bool held = request.idempotent ? view.blocksIdempotent : view.blocksNonIdempotent;
            if (held && !request.includeHeld)
                continue;
            const bool trusted
                = view.ejectionState == EjectionState::Active || view.ejectionState == EjectionState::Ramp;
            if (trusted && !view.leaving && !request.excluded.contains(view.target->name))
                result.push_back(&view);
        }
        return result;
    }

    std::vector<const TargetView*> preferred(const std::vector<const TargetView*>& views, double spillLoad,
        const std::function<int(const Target&)>& distance)
    {
        std::map<int, std::vector<const TargetView*>> places;
        for (const auto* view : views)
            places[distance(*view->target)].push_back(view);
        for (const auto& [place, near] : places) {
            const bool free = std::any_of(near.begin(), near.end(),
                [spillLoad](const TargetView* view) { return view->load < spillLoad; });
            if (free)
                return near;
        }
        return views;
    }

    TargetChoice cheapest(const std::vector<const TargetView*>& views, double unprovenWeight)
    {
        const auto best = std::min_element(
            views.begin(), views.end(), [unprovenWeight](const TargetView* a, const TargetView* b) {
                return costOf(*a, unprovenWeight) < costOf(*b, unprovenWeight);
            });
        if (best == views.end())
            return { nullptr, {}, "no usable target" };
        const auto* target = (*best)->target;
        return { target, { { target->name, costOf(**best, unprovenWeight) } }, "cheapest of all" };
    }

    std::vector<const TargetView*> onProbation(
        const std::vector<TargetView>& views, const ChoiceRequest& request)
    {
        std::vector<const TargetView*> result;
        if (!request.idempotent)
            return result;
        for (const auto& view : views) {
            const bool tested = view.ejectionState == EjectionState::Probation && view.load == 0;
            if (tested && !view.leaving && !request.excluded.contains(view.target->name))
                result.push_back(&view);
        }
        return result;
    }

} // namespace chooser_detail

} // namespace tarragonhaven
