#include "tarragonhaven/spillover/spill_log.h"

#include <chrono>

namespace tarragonhaven {

namespace {

    using Json = nlohmann::ordered_json;

    constexpr double millisecondsPerSecond = 1000;

    Json fieldsOf(const SpillPlan::Shares& shares)
    {
        Json fields = Json::object();
        for (const auto& [dataCentre, share] : shares)
            fields[dataCentre.text] = share;
        return fields;
    }

    Json fieldsOf(const DataCentreLoad& load)
    {
        Json arrivals = Json::object();
        for (const auto& [rank, perSecond] : load.arrivalsPerSecond)
            arrivals[std::to_string(rank)] = perSecond;
        return { { "dataCentre", load.dataCentre.text }, { "usableSlots", load.usableSlots },
            { "slotsInUse", load.slotsInUse }, { "waiting", load.waiting },
            { "holdMs", load.meanHoldSeconds * millisecondsPerSecond }, { "arrivals", arrivals },
            { "refused", load.refusedPerSecond },
            { "ageMs", std::chrono::duration_cast<std::chrono::milliseconds>(load.age).count() } };
    }

} // namespace

Json logFieldsOf(const SpillOver::ServiceChange& serviceChange)
{
    const auto& change = serviceChange.change;
    Json fields { { "service", serviceChange.service.text }, { "before", fieldsOf(change.before) },
        { "after", fieldsOf(change.after) }, { "reason", change.reason } };
    if (!change.input)
        return fields;
    const auto& input = *change.input;
    Json others = Json::array();
    for (const auto& other : input.others)
        others.push_back(fieldsOf(other));
    Json kinds = Json::array();
    for (const auto& [kind, shares] : change.plan.shares)
        kinds.push_back(
            { { "size", toString(kind.size) }, { "rank", kind.rank }, { "shares", fieldsOf(shares) } });
    Json roundTrips = Json::object();
    for (const auto& [dataCentre, seconds] : input.roundTrips)
        roundTrips[dataCentre.text] = seconds * millisecondsPerSecond;
    fields.update(
        Json { { "demandSlots", change.plan.demandSlots }, { "lackingSlots", change.plan.lackingSlots },
            { "ownWaitMs", change.plan.ownWaitSeconds * millisecondsPerSecond },
            { "secondsPerMegabyte", input.secondsPerMegabyte }, { "sent", fieldsOf(input.sentShares) },
            { "own", fieldsOf(input.own) }, { "others", others }, { "roundTripMs", roundTrips },
            { "kinds", kinds } });
    return fields;
}

} // namespace tarragonhaven
