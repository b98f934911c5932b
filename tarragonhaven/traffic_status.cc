#include "tarragonhaven/traffic_status.h"

#include "tarragonhaven/memory/connection_metrics.h"
#include "tarragonhaven/memory/memory_metrics.h"

#include <nlohmann/json.hpp>

namespace tarragonhaven {

namespace {

    using nlohmann::ordered_json;

    ordered_json targetStates(const Entry& entry)
    {
        auto rows = ordered_json::array();
        const auto now = util::BootClock::now();
        for (const auto& [service, health] : entry.services()) {
            for (const auto& view : health.views(now)) {
                rows.push_back({ { "service", service.text }, { "target", view.target->name.text },
                    { "instance", view.target->instance.text }, { "standing", toString(view.ejectionState) },
                    { "leaving", view.leaving }, { "evacuated", view.target->evacuated },
                    { "weight", view.weight }, { "load", view.load }, { "slowdown", view.slowdown },
                    { "score", health.excessScore(view.target->name) }, { "slots", view.target->slots },
                    { "slotsInUse", health.servingSlots() }, { "floorSlots", health.floorSlots() } });
            }
        }
        return rows;
    }

    ordered_json guardedTargetStates(const Guard& guard)
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

    ordered_json evacuatedDataCentres(const Entry& entry)
    {
        auto names = ordered_json::array();
        if (entry.directory()) {
            for (const auto& dataCentre : entry.directory()->evacuated())
                names.push_back(dataCentre.text);
        }
        return names;
    }

    ordered_json refusals(const TrafficMetrics& metrics)
    {
        ordered_json rows = ordered_json::object();
        for (int i = 0; i < refusalReasonCount; ++i) {
            const auto count = metrics.refusals().at(static_cast<std::size_t>(i));
            if (count > 0)
                rows[std::string(toString(static_cast<RefusalReason>(i)))] = count;
        }
        return rows;
    }

    double secondsSince(util::Time time) { return util::toSeconds(util::BootClock::now() - time); }

    void addTargetMetrics(MetricsPage& page, const Entry& entry, const Guard& guard)
    {
        for (const auto& [name, target] : guard.targets()) {
            const MetricsPage::Labels labels { { "target", name.text } };
            page.gauge("guarded_slots", "Slots of a guarded target.", target->target().slots, labels);
            page.gauge("guarded_slots_in_use", "Requests that are running at a guarded target.",
                target->slotsInUse(), labels);
            page.gauge("guarded_waiting", "Requests that wait for a slot of a guarded target.",
                target->waiting(), labels);
            if (target->requestLimit())
                page.gauge("guarded_request_limit",
                    "Requests per second that a guarded target accepts, as it named in its responses.",
                    *target->requestLimit(), labels);
            page.gauge("guarded_evacuated",
                "Whether a guarded target gets no requests because its data centre is evacuated.",
                target->isEvacuated() ? 1 : 0, labels);
            page.gauge("guarded_cold", "Whether a guarded target is cold, or may be.",
                target->coldPace() ? 1 : 0, labels);
            page.counter("paced_requests_total",
                "Requests that a guarded target did not get at once because it was cold.",
                static_cast<double>(target->pacedRequests()), labels);
            page.gauge("guarded_leaving", "Whether a guarded target has announced that it is about to stop.",
                target->announcedLeaving() ? 1 : 0, labels);
        }
        const auto now = util::BootClock::now();
        for (const auto& [service, health] : entry.services()) {
            std::map<std::string_view, int> counts { { "active", 0 }, { "evacuated", 0 }, { "held", 0 },
                { "leaving", 0 }, { "not-active", 0 } };
            int cold = 0;
            for (const auto& view : health.views(now)) {
                cold += view.cold ? 1 : 0;
                const bool active = view.ejectionState == EjectionState::Active;
                ++counts[view.target->evacuated ? "evacuated"
                        : view.leaving          ? "leaving"
                        : view.blocksIdempotent ? "held"
                        : active                ? "active"
                                                : "not-active"];
            }
            for (const auto& [state, count] : counts)
                page.gauge("targets", "Targets of a service by their state at this entry node.", count,
                    { { "service", service.text }, { "state", std::string(state) } });
            page.gauge("cold_targets", "Targets of a service that are cold, as their guards reported.", cold,
                { { "service", service.text } });
            page.gauge("slots_in_use", "Slots of the targets of a service that this entry node uses.",
                health.servingSlots(), { { "service", service.text } });
        }
    }

    void addCrashMetrics(MetricsPage& page, const CrashContainment& containment)
    {
        page.counter("target_crashes_total", "Crashes of guarded targets that were running requests.",
            static_cast<double>(containment.crashes()));
        page.gauge("suspect_requests",
            "Requests that were running when a target crashed and were not answered since.",
            static_cast<double>(containment.suspects().suspectCount()));
        page.gauge("held_requests",
            "Requests that are refused because targets crashed that were running them.",
            static_cast<double>(containment.suspects().heldCount(util::BootClock::now())));
    }

    void addAgeMetrics(MetricsPage& page, const Entry& entry)
    {
        const auto& configuration = entry.configuration();
        page.gauge("declarations_revision", "Revision of the declarations in use; 0 if there are none.",
            configuration ? static_cast<double>(configuration->revision()) : 0);
        if (configuration)
            page.gauge("declarations_age_seconds", "Time since this node applied its current declarations.",
                secondsSince(entry.declarationsSince()));
        if (!entry.directory())
            return;
        page.gauge("directory_age_seconds",
            "Time since this node applied the last change of the directory of targets.",
            secondsSince(entry.directorySince()));
        page.gauge("evacuated_data_centres", "Data centres that are evacuated, as the store said last.",
            static_cast<double>(entry.directory()->evacuated().size()));
    }

    void addLogMetrics(MetricsPage& page, const LogChannel& log)
    {
        page.counter("log_lines_total", "Log lines that the traffic thread passed to the log writer.",
            static_cast<double>(log.written()));
        page.counter("log_lines_left_out_total",
            "Log lines that were dropped because of the rate limit or a full ring.",
            static_cast<double>(log.dropped()));
    }

    void addQuotaMetrics(MetricsPage& page, const QuotaAdmission& quota)
    {
        page.gauge("quota_nodes", "Nodes among which the limits are divided.", quota.nodes());
        page.gauge("quota_keepers_silent", "Aggregators that do not answer usage reports.",
            quota.unresponsiveAggregators());
        page.gauge(
            "quota_waiting", "Requests that wait for a report of remote usage.", quota.waitingRequests());
        for (const auto& [service, counts] : quota.retryCounts()) {
            page.counter("retries_granted_total", "Retries that the fleet-wide retry limit allowed.",
                static_cast<double>(counts.granted), { { "service", service } });
            page.counter("retries_denied_total", "Retries that the fleet-wide retry limit did not allow.",
                static_cast<double>(counts.denied), { { "service", service } });
            page.gauge("retries_left",
                "Retries that remained within the fleet-wide retry limit at the latest query.",
                counts.remaining, { { "service", service } });
        }
    }

    void addStoreMetrics(MetricsPage& page, const DiscoveryCounters& discovery)
    {
        const auto calls = [&page](const char* outcome, const std::atomic<std::uint64_t>& count) {
            page.counter("store_calls_total", "Calls to the store, by outcome.",
                static_cast<double>(count.load()), { { "outcome", outcome } });
        };
        calls("answered", discovery.calls.answered);
        calls("throttled", discovery.calls.throttled);
        calls("history-gone", discovery.calls.historyGone);
        calls("timed-out", discovery.calls.timedOut);
        calls("failed", discovery.calls.failed);
        page.gauge("store_reachable", "Whether the latest call to the store was answered (1) or not (0).",
            discovery.reachable.load() ? 1 : 0);
        page.gauge("store_as_of", "Revision of the store up to which all changes are known.",
            static_cast<double>(discovery.asOf.load()));
        page.gauge("store_epoch", "How often the store was restored from a copy, as its last response said.",
            static_cast<double>(discovery.epoch.load()));
        const util::Time lastResponseAt { util::Duration(discovery.lastResponseAt.load()) };
        if (lastResponseAt != util::Time {})
            page.gauge("store_answer_age_seconds", "Time since the latest response of the store.",
                secondsSince(lastResponseAt));
        page.counter("records_rejected_total", "Records of the store that were rejected as invalid.",
            static_cast<double>(discovery.recordsRejected.load()));
    }

} // namespace

std::string trafficStatusJson(const TrafficSources& sources)
{
    const auto& entry = sources.entry;
    const auto& metrics = sources.metrics;
    const auto& configuration = entry.configuration();
    ordered_json status;
    status["instance"] = entry.dependencies().self.text;
    status["dataCentre"] = entry.dependencies().dataCentre.text;
    status["revision"] = configuration ? configuration->revision() : 0;
    status["stopping"] = entry.stopping();
    status["connections"] = metrics.connections();
    status["answers"] = metrics.responses();
    status["retries"] = metrics.retries();
    status["cutAnswers"] = metrics.truncatedResponses();
    status["evacuated"] = evacuatedDataCentres(entry);
    status["targets"] = targetStates(entry);
    status["guarded"] = guardedTargetStates(sources.guard);
    status["organisations"] = organisations(metrics);
    status["refusals"] = refusals(metrics);
    return status.dump();
}

std::string trafficMetricsText(const TrafficSources& sources)
{
    MetricsPage page;
    sources.metrics.addTo(page);
    addTargetMetrics(page, sources.entry, sources.guard);
    addCrashMetrics(page, sources.guard.containment());
    addAgeMetrics(page, sources.entry);
    addLogMetrics(page, sources.log);
    if (sources.quota)
        addQuotaMetrics(page, *sources.quota);
    if (sources.discovery)
        addStoreMetrics(page, *sources.discovery);
    if (sources.connections)
        addConnectionMetrics(page, *sources.connections);
    if (sources.memory)
        addMemoryMetrics(page, *sources.memory);
    return page.text();
}

} // namespace tarragonhaven
