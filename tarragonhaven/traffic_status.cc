#include "tarragonhaven/traffic_status.h"

#include <nlohmann/json.hpp>

namespace tarragonhaven {

namespace {

    using nlohmann::ordered_json;

    ordered_json targetsSeen(const Entry& entry)
    {
        auto rows = ordered_json::array();
        const auto now = util::BootClock::now();
        for (const auto& [service, health] : entry.services()) {
            for (const auto& view : health.views(now)) {
                rows.push_back({ { "service", service.text }, { "target", view.target->name.text },
                    { "instance", view.target->instance.text }, { "standing", name(view.standing) },
                    { "leaving", view.leaving }, { "weight", view.weight }, { "load", view.load },
                    { "slowdown", view.slowdown }, { "score", health.excessScore(view.target->name) },
                    { "slots", view.target->slots }, { "slotsInUse", health.slotsInUse() },
                    { "floorSlots", health.floorSlots() } });
            }
        }
        return rows;
    }

    ordered_json targetsGuarded(const Guard& guard)
    {
        auto rows = ordered_json::array();
        for (const auto& [name, target] : guard.targets())
            rows.push_back(
                { { "target", name.text }, { "slots", target->target().slots }, { "busy", target->busy() } });
        return rows;
    }

    ordered_json organisations(const TrafficMetrics& metrics)
    {
        auto rows = ordered_json::array();
        for (const auto& [organisation, counts] : metrics.organisations()) {
            rows.push_back({ { "organisation", organisation }, { "answered", counts.answered },
                { "refused", counts.refused }, { "refusedForRate", counts.refusedForRate } });
        }
        return rows;
    }

    ordered_json refusals(const TrafficMetrics& metrics)
    {
        ordered_json rows = ordered_json::object();
        for (int i = 0; i < refusalReasonCount; ++i) {
            const auto count = metrics.refusals().at(static_cast<std::size_t>(i));
            if (count > 0)
                rows[std::string(name(static_cast<RefusalReason>(i)))] = count;
        }
        return rows;
    }

} // namespace

std::string trafficStatusJson(const Entry& entry, const Guard& guard, const TrafficMetrics& metrics)
{
    const auto& configuration = entry.configuration();
    ordered_json status;
    status["instance"] = entry.parts().self.text;
    status["dataCentre"] = entry.parts().dataCentre.text;
    status["revision"] = configuration ? configuration->revision() : 0;
    status["stopping"] = entry.stopping();
    status["connections"] = metrics.connections();
    status["answers"] = metrics.answers();
    status["retries"] = metrics.retries();
    status["cutAnswers"] = metrics.cuts();
    status["targets"] = targetsSeen(entry);
    status["guarded"] = targetsGuarded(guard);
    status["organisations"] = organisations(metrics);
    status["refusals"] = refusals(metrics);
    return status.dump();
}

} // namespace tarragonhaven
