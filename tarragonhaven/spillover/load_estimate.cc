#include "tarragonhaven/spillover/load_estimate.h"

#include "tarragonhaven/spillover/load_freshness.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace tarragonhaven {

namespace {

    constexpr int minimumFreshTargets = 3;
    // Recent reports weigh more, so that the estimate follows a burst within a second.
    constexpr double recentSeconds = 0.5;
    // How long a target without a report counts as unreachable.
    constexpr util::Duration unreachableMemory = std::chrono::seconds(10);
    // The load at which the requests at the targets no longer show the demand.
    constexpr double saturatedLoad = 0.95;
    // Beyond this share, too few requests stay to tell from them how many there are.
    constexpr double maximumKnownSentShare = 0.9;
    constexpr double maximumRefusedShare = 0.5;
    // Smooths the estimate while there are free slots; the time for which it is remembered while there are
    // none. A few hold times, so that a lost data centre is still known to have had its demand.
    constexpr double smoothingSeconds = 1;
    constexpr double memorySeconds = 10;

    bool takesWork(const TargetView& view)
    {
        const bool trusted
            = view.ejectionState == EjectionState::Active || view.ejectionState == EjectionState::Ramp;
        return trusted && !view.leaving && !view.blocksNonIdempotent;
    }

    int rounded(double value) { return static_cast<int>(std::lround(value)); }

} // namespace

// The sums over the targets of one data centre, weighted by the freshness of what is known of them.
struct LoadEstimate::Sample {
    int usableTargets = 0;
    int freshTargets = 0;
    double usableSlots = 0;
    double unreachableSlots = 0;
    double freshSlots = 0;
    double weightedSlots = 0;
    double weightedInUse = 0;
    double weightedWaiting = 0;
    double weightedAge = 0;
    double holdSeconds = 0;
    double holdWeight = 0;

    void add(const TargetView& view, bool unreachable)
    {
        const double slots = view.target->slots * std::min(1.0, view.weight);
        if (!takesWork(view))
            return;
        if (unreachable) {
            unreachableSlots += slots;
            return;
        }
        ++usableTargets;
        usableSlots += slots;
        const double weight
            = freshness(view.reportAge) * std::exp(-util::toSeconds(view.reportAge) / recentSeconds);
        if (freshness(view.reportAge) <= 0)
            return;
        ++freshTargets;
        freshSlots += slots;
        const double requests = std::max(0.0, view.load * view.target->slots - view.servedSinceReport);
        weightedSlots += weight * slots;
        weightedInUse += weight * std::min(requests, slots);
        weightedWaiting += weight * std::max(0.0, requests - slots);
        weightedAge += weight * slots * util::toSeconds(view.reportAge);
        if (view.holdSeconds > 0) {
            holdSeconds += weight * view.holdSeconds;
            holdWeight += weight;
        }
    }

    [[nodiscard]] std::optional<DataCentreLoad> load(const DataCentreName& dataCentre) const
    {
        DataCentreLoad result { dataCentre };
        if (usableTargets == 0)
            return result;
        if (freshTargets < std::min(minimumFreshTargets, usableTargets) || weightedSlots <= 0)
            return std::nullopt;
        // The mean slots of a target are added on both sides, so that one unreachable target among few known
        // ones does not count as the loss of the data centre.
        const double typical = usableSlots / usableTargets;
        const double reachable = (freshSlots + typical) / (freshSlots + unreachableSlots + typical);
        const double slots = freshSlots + (usableSlots - freshSlots) * reachable;
        const double scale = slots / weightedSlots;
        result.usableSlots = rounded(slots);
        result.slotsInUse = rounded(weightedInUse * scale);
        result.waiting = rounded(weightedWaiting * scale);
        result.meanHoldSeconds = holdWeight > 0 ? holdSeconds / holdWeight : 0;
        result.age = util::fromSeconds(weightedAge / weightedSlots);
        return result;
    }
};

std::vector<DataCentreLoad> LoadEstimate::estimate(
    const std::vector<TargetView>& views, const Context& context, const DemandMeter& demand, util::Time now)
{
    recordUnreachable(views, context.unreachable, now);
    std::map<DataCentreName, Sample> samples;
    for (const auto& view : views)
        samples[view.target->dataCentre].add(view, m_unreachableAt.contains(view.target->name));
    std::vector<DataCentreLoad> result;
    for (const auto& [dataCentre, sample] : samples) {
        if (auto load = sample.load(dataCentre))
            result.push_back(std::move(*load));
    }
    for (auto& load : result) {
        if (load.meanHoldSeconds > 0)
            m_meanHoldSeconds = load.meanHoldSeconds;
    }
    for (auto& load : result) {
        if (load.meanHoldSeconds <= 0)
            load.meanHoldSeconds = m_meanHoldSeconds;
        if (load.dataCentre == context.own)
            addDemand(load, context.sentShare, demand, now);
    }
    return result;
}

void LoadEstimate::recordUnreachable(
    const std::vector<TargetView>& views, const std::set<TargetName>& unreachable, util::Time now)
{
    for (const auto& view : views) {
        const auto found = m_unreachableAt.find(view.target->name);
        if (found != m_unreachableAt.end() && view.reportAge < now - found->second)
            m_unreachableAt.erase(found);
        else if (found == m_unreachableAt.end() && unreachable.contains(view.target->name))
            m_unreachableAt.emplace(view.target->name, now);
    }
    std::erase_if(m_unreachableAt, [&unreachable, now](const auto& item) {
        return now - item.second > unreachableMemory && !unreachable.contains(item.first);
    });
}

void LoadEstimate::addDemand(
    DataCentreLoad& load, double sentShare, const DemandMeter& demand, util::Time now)
{
    if (load.meanHoldSeconds <= 0)
        return;
    const double refused = std::min(maximumRefusedShare, demand.refusedShare(now));
    const double stays = 1 - std::min(sentShare, maximumKnownSentShare);
    double slots = load.occupancy() / stays / (1 - refused);
    const double elapsed = std::max(0.0, util::toSeconds(now - m_demandAsOf));
    if (load.occupancy() >= saturatedLoad * load.usableSlots || sentShare > maximumKnownSentShare) {
        m_demandSlots *= std::exp(-elapsed / memorySeconds);
        slots = std::max(slots, m_demandSlots);
    } else {
        const double weight = m_demandSlots > 0 ? 1 - std::exp(-elapsed / smoothingSeconds) : 1;
        m_demandSlots += weight * (slots - m_demandSlots);
    }
    m_demandAsOf = now;
    const auto kinds = demand.demand(now);
    double total = 0;
    for (const auto& [kind, ofKind] : kinds)
        total += ofKind.requestsPerSecond;
    if (total <= 0)
        return;
    // Without any usable slot nothing shows how much the other entries receive; every request has to leave.
    const double perSecond = std::max(total, slots / load.meanHoldSeconds);
    for (const auto& [kind, ofKind] : kinds)
        load.arrivalsPerSecond[kind.rank] += perSecond * ofKind.requestsPerSecond / total;
    load.refusedPerSecond = perSecond * refused;
}

} // namespace tarragonhaven
