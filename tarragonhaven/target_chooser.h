#pragma once

#include "tarragonhaven/configuration.h"
#include "tarragonhaven/service_health.h"

#include <compare>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace tarragonhaven {

// A target that was considered, and its cost: the expected wait relative to an idle target of typical speed.
struct ScoredTarget {
    TargetName target;
    double cost = 0;

    friend auto operator<=>(const ScoredTarget&, const ScoredTarget&) = default;
    friend bool operator==(const ScoredTarget&, const ScoredTarget&) = default;
};

// The target chosen for a request, the targets that were considered, and the reason for the choice.
struct TargetChoice {
    // Null if no target may be used.
    const Target* target = nullptr;
    std::vector<ScoredTarget> alternatives;
    std::string_view reason;
};

// The properties of a request that determine the choice of its target.
struct ChoiceRequest {
    // Only idempotent requests may be used to probe a target on probation.
    bool idempotent = false;
    // Targets that have refused this request.
    std::set<TargetName> excluded;
    // Requests per slot at which a target has no capacity left; when all targets at the nearest distance have
    // reached it, the next distance is used.
    double spilloverLoad = 0.9;
    // The share by which each second since a target's last success raises its cost. A request that cannot be
    // retried thus prefers targets that succeeded a moment ago.
    double noSuccessPenalty = 0;
    // Whether targets may be used whose breaker refuses the request.
    bool includeBlocked = false;
    // Whether targets may be used whose own limit admits no request now, so that the request has to wait.
    bool includeLimited = true;
    // Whether only targets may be used that are not known to be full. The nearest of them are used then.
    bool freeSlotOnly = false;
    // Chooses the lowest cost among all usable targets, whatever their load.
    bool lowestCost = false;
    // The factor by which the cost of a target in another data centre is raised if the lowest cost decides.
    double remoteCostFactor = 1;
    // Only targets in this data centre are used if any of them may be.
    std::optional<DataCentreName> dataCentre;
    // Targets in these data centres are used only if no other may be, and not for `freeSlotOnly`.
    std::set<DataCentreName> avoidedDataCentres;
};

// Returns the cost of sending a request to a target.
double costOf(const TargetView& view, double noSuccessPenalty = 0);

// Chooses the cheaper of two randomly drawn targets; the draw is weighted by slots and by the weight of the
// ejection state. Nearer targets are preferred until all of them are loaded to `spilloverLoad` requests per
// slot; if all targets are, distance does not count, unless only targets with a free slot are wanted. One
// idempotent request in twenty probes a target on
// probation, if there is one without load.
//
// `distance` returns the distance of a target from this node; the lowest value is the nearest, and
// `remoteDistance` or more means another data centre.
template <typename Random>
TargetChoice chooseTarget(const std::vector<TargetView>& views, const ChoiceRequest& request,
    const std::function<int(const Target&)>& distance, Random& random);

// The distance of a target in another data centre.
inline constexpr int remoteDistance = 2;

namespace chooser_detail {

    // The probability that an idempotent request probes a target on probation. Also the lowest weight that
    // costOf() uses.
    inline constexpr double probationProbability = 0.05;

    std::vector<const TargetView*> usableTargets(
        const std::vector<TargetView>& views, const ChoiceRequest& request);
    std::vector<const TargetView*> nearestWithCapacity(const std::vector<const TargetView*>& views,
        const ChoiceRequest& request, const std::function<int(const Target&)>& distance);
    std::vector<const TargetView*> probationTargets(
        const std::vector<TargetView>& views, const ChoiceRequest& request);

    TargetChoice chooseCheapest(const std::vector<const TargetView*>& views, const ChoiceRequest& request,
        const std::function<int(const Target&)>& distance);

    template <typename Random>
    const TargetView* drawWeighted(const std::vector<const TargetView*>& views, Random& random)
    {
        double total = 0;
        for (const auto* view : views)
            total += view->weight * view->target->slots;
        double remaining = std::uniform_real_distribution<double>(0, total)(random);
        for (const auto* view : views) {
            remaining -= view->weight * view->target->slots;
            if (remaining < 0)
                return view;
        }
        return views.back();
    }

} // namespace chooser_detail

template <typename Random>
TargetChoice chooseTarget(const std::vector<TargetView>& views, const ChoiceRequest& request,
    const std::function<int(const Target&)>& distance, Random& random)
{
    const auto probation = chooser_detail::probationTargets(views, request);
    const bool probes = !probation.empty()
        && std::uniform_real_distribution<double>(0, 1)(random) < chooser_detail::probationProbability;
    if (probes) {
        const auto* view = chooser_detail::drawWeighted(probation, random);
        return { view->target, { { view->target->name, costOf(*view) } }, "probation" };
    }
    if (request.lowestCost)
        return chooser_detail::chooseCheapest(
            chooser_detail::usableTargets(views, request), request, distance);
    const auto candidates = chooser_detail::nearestWithCapacity(
        chooser_detail::usableTargets(views, request), request, distance);
    if (candidates.empty())
        return { nullptr, {}, "no usable target" };
    const auto* first = chooser_detail::drawWeighted(candidates, random);
    const auto* second = chooser_detail::drawWeighted(candidates, random);
    const double firstCost = costOf(*first, request.noSuccessPenalty);
    const double secondCost = costOf(*second, request.noSuccessPenalty);
    const auto* better = secondCost < firstCost ? second : first;
    TargetChoice choice;
    choice.target = better->target;
    choice.alternatives = { { first->target->name, firstCost }, { second->target->name, secondCost } };
    choice.reason = first == second ? "both draws gave this target" : "cheaper of two draws";
    return choice;
}

} // namespace tarragonhaven
