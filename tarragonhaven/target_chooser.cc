// Two choices out of many even load out nearly as well as the full comparison, without herding to the one
// target that looks best to every node (M. Mitzenmacher, "The power of two choices in randomized load
// balancing", 2001).

#include "tarragonhaven/target_chooser.h"

#include <algorithm>

namespace tarragonhaven {

double costOf(const TargetView& view)
{
    return (1 + view.load) * view.slowdown / std::max(view.weight, chooser_detail::probationChance);
}

namespace chooser_detail {

    std::vector<const TargetView*> usable(const std::vector<TargetView>& views, const ChoiceRequest& request)
    {
        std::vector<const TargetView*> result;
        for (const auto& view : views) {
            const bool trusted = view.standing == Standing::Active || view.standing == Standing::Ramp;
            if (trusted && !view.leaving && !request.excluded.contains(view.target->name))
                result.push_back(&view);
        }
        return result;
    }

    std::vector<const TargetView*> preferred(
        const std::vector<const TargetView*>& views, const std::function<bool(const Target&)>& isLocal)
    {
        std::vector<const TargetView*> local;
        std::copy_if(views.begin(), views.end(), std::back_inserter(local),
            [&isLocal](const TargetView* view) { return isLocal(*view->target); });
        const bool free = std::any_of(
            local.begin(), local.end(), [](const TargetView* view) { return view->load < spillLoad; });
        return free ? local : views;
    }

    std::vector<const TargetView*> onProbation(
        const std::vector<TargetView>& views, const ChoiceRequest& request)
    {
        std::vector<const TargetView*> result;
        if (!request.idempotent)
            return result;
        for (const auto& view : views) {
            const bool tested = view.standing == Standing::Probation && view.load == 0;
            if (tested && !view.leaving && !request.excluded.contains(view.target->name))
                result.push_back(&view);
        }
        return result;
    }

} // namespace chooser_detail

} // namespace tarragonhaven
