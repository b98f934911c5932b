#include "tarragonhaven/spillover/spill_plan.h"

#include "tarragonhaven/spillover/load_freshness.h"
#include "tarragonhaven/spillover/queue_wait.h"

#include <algorithm>

namespace tarragonhaven {

namespace {

    // The mean wait, as a share of the hold time, beyond which a data centre lacks capacity.
    constexpr double toleratedWaitInHolds = 0.1;
    // The load at which requests wait at all targets, so that one that looks for a free slot finds none.
    constexpr double fullLoad = 1.25;
    // The wait of a request that no target of the own data centre can run, in seconds.
    constexpr double unservedWaitSeconds = 60;

    // The capacity that another data centre offers.
    struct Offer {
        DataCentreName dataCentre;
        double slots = 0;
        // The wait and the longer round trip.
        double seconds = 0;
    };

    double roundTripTo(const SpillInput& input, const DataCentreName& dataCentre)
    {
        const auto found = input.roundTrips.find(dataCentre);
        return found == input.roundTrips.end() ? 0 : found->second;
    }

    double sustainableSlots(const DataCentreLoad& load)
    {
        const double hold = load.meanHoldSeconds;
        return load.usableSlots * sustainableLoad(load.usableSlots, hold, toleratedWaitInHolds * hold);
    }

    bool isFull(const DataCentreLoad& load) { return load.occupancy() >= fullLoad * load.usableSlots; }

    std::vector<Offer> offersOf(const SpillInput& input, const SpillPlan& plan)
    {
        const double ownRoundTrip = roundTripTo(input, input.own.dataCentre);
        std::vector<Offer> offers;
        for (const auto& other : input.others) {
            const auto sent = input.sentShares.find(other.dataCentre);
            const double sentSlots = sent == input.sentShares.end() ? 0 : sent->second * plan.demandSlots;
            // The other data centre may fill up until the wait there, with the round trip, is half the own
            // one.
            const double roundTrip = std::max(0.0, roundTripTo(input, other.dataCentre) - ownRoundTrip);
            const double wait = std::max(
                toleratedWaitInHolds * other.meanHoldSeconds, (plan.ownWaitSeconds - roundTrip) / 2);
            const double spare
                = other.usableSlots * sustainableLoad(other.usableSlots, other.meanHoldSeconds, wait)
                - other.occupancy();
            // All data centres that lack capacity see the same free slots.
            const double part = spare > 0 ? spare / static_cast<double>(plan.lacking.size() + 1) : spare;
            const double slots = other.usableSlots > 0 ? (sentSlots + part) * freshness(other.age) : 0;
            if (slots <= 0)
                continue;
            const double load = static_cast<double>(other.occupancy()) / other.usableSlots;
            offers.push_back({ other.dataCentre, slots,
                expectedWait(load, other.usableSlots, other.meanHoldSeconds) + roundTrip });
        }
        return offers;
    }

    // Divides up to `wanted` slots among the offers that save time, in proportion to what they offer. Returns
    // how much was divided.
    double divide(double wanted, double worthSeconds, std::vector<Offer>& offers,
        std::map<DataCentreName, double>& slots)
    {
        double offered = 0;
        for (const auto& offer : offers)
            offered += offer.seconds < worthSeconds ? offer.slots : 0;
        const double taken = std::min(wanted, offered);
        if (taken <= 0)
            return 0;
        for (auto& offer : offers) {
            if (offer.seconds >= worthSeconds)
                continue;
            const double part = taken * offer.slots / offered;
            slots[offer.dataCentre] += part;
            offer.slots -= part;
        }
        return taken;
    }

} // namespace

SpillPlan planSpill(const SpillInput& input)
{
    SpillPlan plan;
    double requestsPerSecond = 0;
    for (const auto& [kind, demand] : input.demand)
        requestsPerSecond += demand.requestsPerSecond;
    for (const auto& [rank, arrivals] : input.own.arrivalsPerSecond)
        plan.demandSlots += arrivals * input.own.meanHoldSeconds;
    for (const auto& other : input.others) {
        if (isFull(other))
            plan.lacking.insert(other.dataCentre);
    }
    const auto& own = input.own;
    plan.lackingSlots = std::max(0.0, plan.demandSlots - sustainableSlots(own));
    plan.ownWaitSeconds = own.usableSlots > 0
        ? expectedWait(plan.demandSlots / own.usableSlots, own.usableSlots, own.meanHoldSeconds)
        : unservedWaitSeconds;
    for (const auto& [kind, demand] : input.demand) {
        if (input.secondsPerMegabyte * demand.megabytes >= plan.ownWaitSeconds)
            plan.staying.insert(kind);
    }
    if (plan.lackingSlots <= 0 || requestsPerSecond <= 0)
        return plan;
    auto offers = offersOf(input, plan);
    double remaining = plan.lackingSlots;
    for (const auto& [kind, demand] : input.demand) {
        const double kindSlots = plan.demandSlots * demand.requestsPerSecond / requestsPerSecond;
        if (kindSlots <= 0)
            continue;
        const double worth = plan.ownWaitSeconds - input.secondsPerMegabyte * demand.megabytes;
        std::map<DataCentreName, double> slots;
        remaining -= divide(std::min(kindSlots, remaining), worth, offers, slots);
        for (const auto& [dataCentre, part] : slots) {
            plan.shares[kind][dataCentre] = part / kindSlots;
            plan.totals[dataCentre] += part / plan.demandSlots;
        }
    }
    return plan;
}

} // namespace tarragonhaven
