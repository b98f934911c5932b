#pragma once

#include "tarragonhaven/configuration.h"
#include "tarragonhaven/service_health.h"

#include <compare>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace tarragonhaven {

// A target that was weighed, and its cost: expected waiting relative to an idle target of typical speed.
struct ScoredTarget {
    TargetName target;
    double cost = 0;

    friend auto operator<=>(const ScoredTarget&, const ScoredTarget&) = default;
    friend bool operator==(const ScoredTarget&, const ScoredTarget&) = default;
};

// The choice for one request, with what it was weighed against.
struct TargetChoice {
    // Null when no target may be used.
    const Target* target = nullptr;
    std::vector<ScoredTarget> alternatives;
    std::string_view reason;
};

struct ChoiceRequest {
    // Whether the request may test a target on probation.
    bool idempotent = false;
    // Targets that this request was refused by.
    std::set<TargetName> excluded;
    // Requests a slot at which the targets of a nearer place have no room for more.
    double spilloverLoad = 0.9;
    // How much an unproven second adds to the cost of a target, as a share. A request that cannot be tried
    // again goes rather to targets that answered well a moment ago.
    double noSuccessPenalty = 0;
    // Whether targets count that their guards hold back.
    bool includeBlocked = false;
    // Takes the cheapest of all targets that may be used, wherever it is.
    bool leastLoaded = false;
};

// The cost of sending a request to a target.
double costOf(const TargetView& view, double noSuccessPenalty = 0);

// Chooses a target by two random draws, weighted by slots and standing, of which the cheaper is taken.
// Nearer targets come first until all of them are loaded to `spillLoad` requests a slot.
//
// `distance` tells how far a target is from this node; the least is the nearest.
template <typename Random>
TargetChoice chooseTarget(const std::vector<TargetView>& views, const ChoiceRequest& request,
    const std::function<int(const Target&)>& distance, Random& random);

namespace chooser_detail {

    inline constexpr double probationProbability = 0.05;

    std::vector<const TargetView*> usableTargets(
        const std::vector<TargetView>& views, const ChoiceRequest& request);
    std::vector<const TargetView*> nearestWithCapacity(const std::vector<const TargetView*>& views,
        double spilloverLoad, const std::function<int(const Target&)>& distance);
    std::vector<const TargetView*> probationTargets(
        const std::vector<TargetView>& views, const ChoiceRequest& request);

    TargetChoice chooseCheapest(const std::vector<const TargetView*>& views, double noSuccessPenalty);

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
    if (request.leastLoaded)
        return chooser_detail::chooseCheapest(
            chooser_detail::usableTargets(views, request), request.noSuccessPenalty);
    const auto candidates = chooser_detail::nearestWithCapacity(
        chooser_detail::usableTargets(views, request), request.spilloverLoad, distance);
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
    choice.reason = first == second ? "only draw" : "cheaper of two draws";
    return choice;
}

} // namespace tarragonhaven
