#include "tarragonhaven/load_summary.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <array>
#include <vector>

namespace tarragonhaven {

namespace {

    // The reasons of attempts that a guard refused before its target received the request.
    constexpr std::array<std::string_view, 6> guardReasons { "no-free-slot", "queue-full", "queue-timeout",
        "target-suspect", "stopping", "crashes-targets" };
    constexpr int firstServerErrorStatus = 500;
    constexpr absl::Duration freeSlotAge = absl::Milliseconds(200);
    // The organisations with the most refusals and failures that are printed.
    constexpr std::size_t maximumOrganisationsPrinted = 10;

    std::int64_t integer(const LogRecord& record, const char* name)
    {
        const auto found = record.fields.find(name);
        return found != record.fields.end() && found->is_number() ? found->get<std::int64_t>() : 0;
    }

    bool isGuardReason(const std::string& reason)
    {
        return std::find(guardReasons.begin(), guardReasons.end(), reason) != guardReasons.end();
    }

    std::int64_t quantile(const std::vector<std::int64_t>& sorted, double share)
    {
        if (sorted.empty())
            return 0;
        const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
        return sorted[std::min(index, sorted.size() - 1)];
    }

    std::string percentOf(std::uint64_t count, std::uint64_t all)
    {
        return absl::StrFormat(
            "%.1f%%", all == 0 ? 0.0 : 100.0 * static_cast<double>(count) / static_cast<double>(all));
    }

    std::string rowOf(const std::string& name, const LoadSummary::Results& results)
    {
        const auto inLimit = results.requests - results.refusedOverLimit;
        return absl::StrFormat("  %-34s %9d %9d %10s %10s %10d\n", name, results.requests, results.answered,
            percentOf(results.refused, inLimit), percentOf(results.failed, inLimit),
            results.refusedOverLimit);
    }

    nlohmann::ordered_json jsonOf(const LoadSummary::Results& results)
    {
        return { { "requests", results.requests }, { "answered", results.answered },
            { "refused", results.refused }, { "failed", results.failed },
            { "refusedOverLimit", results.refusedOverLimit } };
    }

} // namespace

void LoadSummary::addLogLine(std::string_view line)
{
    if (line.find("\"request\":") == std::string_view::npos)
        return;
    const auto record = parseLogRecord(line);
    if (!record || record->request.empty())
        return;
    auto& request = m_requests[record->request];
    if (record->kind == "route")
        addRoute(request, *record);
    else if (record->kind == "attempt")
        addAttempt(request, *record);
    else if (record->kind == "try-failed")
        addFailedAttempt(request, *record);
    else if (record->kind == "refusal")
        addRefusal(request, *record);
    else if (record->kind == "answer")
        request.result
            = integer(*record, "status") < firstServerErrorStatus ? Result::Answered : Result::Failed;
}

void LoadSummary::addRoute(Request& request, const LogRecord& record)
{
    request.group = { record.text("service"), record.text("rank") };
    request.organisation = record.text("organisation");
    if (request.attempts == 0)
        request.firstRoutedAt = record.time;
    request.lastRoutedAt = record.time;
    request.attempts += record.text("target").empty() ? 0 : 1;
}

void LoadSummary::addAttempt(Request& request, const LogRecord& record)
{
    const bool reachedTarget = !isGuardReason(record.text("reason"));
    const bool free = integer(record, "slotsInUse") < integer(record, "slots") && reachedTarget;
    if (free && !request.group.service.empty())
        m_freeSlots[request.group.service][record.text("target")] = record.time;
    request.probed = request.probed || record.text("probe") == "true";
    if (reachedTarget && !request.msToTarget)
        request.msToTarget = absl::ToInt64Milliseconds(request.lastRoutedAt - request.firstRoutedAt)
            + integer(record, "queuedMs");
}

void LoadSummary::addFailedAttempt(Request& request, const LogRecord& record)
{
    const auto reason = record.text("reason");
    if (!isGuardReason(reason)) {
        ++m_otherFailures[reason];
        return;
    }
    ++m_guardRefusals[reason];
    request.refusedByGuard = true;
}

void LoadSummary::addRefusal(Request& request, const LogRecord& record)
{
    if (request.organisation.empty())
        request.organisation = record.text("organisation");
    if (record.text("run") != "not-run") {
        request.result = Result::Failed;
        return;
    }
    const bool overLimit = record.text("reason") == "rate-exceeded";
    request.result = overLimit ? Result::RefusedOverLimit : Result::Refused;
    request.freeSlotElsewhere = !overLimit && hasFreeSlot(request.group.service, record.time);
}

bool LoadSummary::hasFreeSlot(const std::string& service, absl::Time at) const
{
    const auto targets = m_freeSlots.find(service);
    if (targets == m_freeSlots.end())
        return false;
    return std::any_of(targets->second.begin(), targets->second.end(),
        [at](const auto& item) { return absl::AbsDuration(at - item.second) <= freeSlotAge; });
}

LoadSummary::Table LoadSummary::finish() const
{
    Table table;
    table.guardRefusals = m_guardRefusals;
    table.otherFailures = m_otherFailures;
    std::vector<std::int64_t> times;
    const auto add = [](Results& results, Result result) {
        ++results.requests;
        results.answered += result == Result::Answered ? 1 : 0;
        results.refusedOverLimit += result == Result::RefusedOverLimit ? 1 : 0;
        results.refused += result == Result::Refused ? 1 : 0;
        results.failed += result == Result::Failed ? 1 : 0;
    };
    for (const auto& [id, request] : m_requests) {
        if (request.result == Result::None)
            continue;
        ++table.requests;
        table.attempts += static_cast<std::uint64_t>(request.attempts);
        table.requestsWithGuardRefusal += request.refusedByGuard ? 1 : 0;
        table.refusedWithFreeSlot += request.freeSlotElsewhere ? 1 : 0;
        table.probes += request.probed ? 1 : 0;
        table.probesOfFailedRequests += request.probed && request.result != Result::Answered ? 1 : 0;
        if (request.msToTarget)
            times.push_back(*request.msToTarget);
        add(table.groups[request.group], request.result);
        add(table.organisations[request.organisation], request.result);
    }
    std::sort(times.begin(), times.end());
    table.medianMs = quantile(times, 0.5);
    table.p90Ms = quantile(times, 0.9);
    table.p99Ms = quantile(times, 0.99);
    return table;
}

std::string toText(const LoadSummary::Table& table)
{
    auto text
        = absl::StrFormat("requests %d, attempts %d (%.2f per request)\n", table.requests, table.attempts,
            table.requests == 0 ? 0.0
                                : static_cast<double>(table.attempts) / static_cast<double>(table.requests));
    std::uint64_t refusals = 0;
    for (const auto& [reason, count] : table.guardRefusals)
        refusals += count;
    absl::StrAppendFormat(
        &text, "attempts refused by guards %d, of %d requests\n", refusals, table.requestsWithGuardRefusal);
    for (const auto& [reason, count] : table.guardRefusals)
        absl::StrAppendFormat(&text, "  %-34s %9d\n", reason, count);
    absl::StrAppend(&text, "attempts that failed otherwise\n");
    for (const auto& [reason, count] : table.otherFailures)
        absl::StrAppendFormat(&text, "  %-34s %9d\n", reason, count);
    absl::StrAppendFormat(&text,
        "time to the first target: p50 %d ms, p90 %d ms, p99 %d ms\n"
        "requests refused while another target had a free slot: %d\n"
        "requests with a probe %d, without success %d\n",
        table.medianMs, table.p90Ms, table.p99Ms, table.refusedWithFreeSlot, table.probes,
        table.probesOfFailedRequests);
    absl::StrAppendFormat(&text, "  %-34s %9s %9s %10s %10s %10s\n", "service, rank", "requests", "answered",
        "refused", "failed", "over limit");
    for (const auto& [group, results] : table.groups)
        text += rowOf(absl::StrCat(group.service, ", ", group.rank), results);
    std::vector<std::pair<std::string, LoadSummary::Results>> organisations(
        table.organisations.begin(), table.organisations.end());
    std::stable_sort(organisations.begin(), organisations.end(), [](const auto& a, const auto& b) {
        return a.second.refused + a.second.failed > b.second.refused + b.second.failed;
    });
    organisations.resize(std::min(organisations.size(), maximumOrganisationsPrinted));
    absl::StrAppend(&text, "organisations with the most refusals and failures\n");
    for (const auto& [name, results] : organisations)
        text += rowOf(name.empty() ? "(none)" : name, results);
    return text;
}

nlohmann::ordered_json toJson(const LoadSummary::Table& table)
{
    nlohmann::ordered_json json { { "requests", table.requests }, { "attempts", table.attempts },
        { "guardRefusals", table.guardRefusals }, { "otherFailures", table.otherFailures },
        { "requestsWithGuardRefusal", table.requestsWithGuardRefusal },
        { "refusedWithFreeSlot", table.refusedWithFreeSlot },
        { "msToTarget", { { "p50", table.medianMs }, { "p90", table.p90Ms }, { "p99", table.p99Ms } } },
        { "probes", table.probes }, { "probesOfFailedRequests", table.probesOfFailedRequests } };
    for (const auto& [group, results] : table.groups) {
        auto row = jsonOf(results);
        row["service"] = group.service;
        row["rank"] = group.rank;
        json["groups"].push_back(std::move(row));
    }
    for (const auto& [name, results] : table.organisations)
        json["organisations"][name] = jsonOf(results);
    return json;
}

} // namespace tarragonhaven
