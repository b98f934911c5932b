// The cause is derived from the last record that ended the request. If the request was refused before any
// attempt, the refusal itself names the cause. Otherwise the deciding attempt does: the last one that may
// have run, or the last one if none may have run. The cause also states how the breaker at the target's guard
// changed around the attempt: if it opened afterwards, the request was among the first to meet the failure;
// if it was already open, the guard knew of the failure before.

#include "tarragonhaven/request_trace.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <map>
#include <set>

namespace tarragonhaven {

namespace {

    // State records are selected from this long before the first record of the request until this long after
    // the last one.
    constexpr absl::Duration contextBefore = absl::Seconds(10);
    constexpr absl::Duration contextAfter = absl::Seconds(2);
    // A summary of dropped lines is logged at least one second after the first drop, so a summary from
    // shortly after the request may concern it.
    constexpr absl::Duration droppedLinesMargin = absl::Seconds(2);
    constexpr int firstServerErrorStatus = 500;

    int statusOf(const LogRecord& record) { return record.fields.value("status", 0); }

    std::string formatClockTime(absl::Time time)
    {
        return absl::FormatTime("%H:%M:%E3S", time, absl::UTCTimeZone());
    }

    // Formats the fields of a record as name=value pairs, without the fields that all records have.
    std::string formatFields(const LogRecord& record)
    {
        static const std::set<std::string> common { "time", "level", "instance", "kind" };
        std::vector<std::string> parts;
        for (const auto& [name, value] : record.fields.items()) {
            const auto text = value.is_string() ? value.get<std::string>() : value.dump();
            if (!common.contains(name) && !text.empty())
                parts.push_back(absl::StrCat(name, "=", text));
        }
        return absl::StrJoin(parts, " ");
    }

    void sortByTime(std::vector<LogRecord>& records)
    {
        std::stable_sort(records.begin(), records.end(),
            [](const LogRecord& a, const LogRecord& b) { return a.time < b.time; });
    }

    const LogRecord* lastOfKind(const std::vector<LogRecord>& records, std::string_view kind)
    {
        const auto found = std::find_if(records.rbegin(), records.rend(),
            [kind](const LogRecord& record) { return record.kind == kind; });
        return found == records.rend() ? nullptr : &*found;
    }

    bool endsRequest(const std::string& kind)
    {
        return kind == "answer" || kind == "refusal" || kind == "caller-gone";
    }

    // Returns the last record that ended the request at its entry node, or null.
    const LogRecord* endRecord(const RequestTrace& trace)
    {
        const LogRecord* end = nullptr;
        for (const auto& step : trace.steps) {
            if (endsRequest(step.kind))
                end = &step;
        }
        return end;
    }

    // Describes the breaker of a target around `when`: that it was not closed, or that it opened next.
    // Returns an empty string otherwise.
    std::string describeBreaker(const RequestTrace& trace, const std::string& target, absl::Time when)
    {
        const LogRecord* last = nullptr;
        const LogRecord* next = nullptr;
        for (const auto& record : trace.stateRecords) {
            if (record.kind != "breaker" || record.text("target") != target)
                continue;
            if (record.time < when)
                last = &record;
            else if (!next)
                next = &record;
        }
        if (last && last->text("state") != "closed")
            return absl::StrCat("; the breaker at its guard was in state ", last->text("state"), " since ",
                formatClockTime(last->time), " (", last->text("failures"), " failures, ",
                last->text("answers"), " successes)");
        if (next && next->text("state") == "open")
            return absl::StrCat("; the breaker at its guard opened at ", formatClockTime(next->time),
                ", so this request was among the first to meet the failure");
        return {};
    }

    std::string summarizeFailedAttempts(const RequestTrace& trace)
    {
        std::map<std::string, int> counts;
        for (const auto& step : trace.steps) {
            if (step.kind == "try-failed")
                ++counts[step.text("reason")];
        }
        std::vector<std::string> parts;
        for (const auto& [reason, count] : counts)
            parts.push_back(absl::StrCat(count, " x ", reason));
        return absl::StrJoin(parts, ", ");
    }

    // Returns the failed attempt that decided the outcome: with `preferMayHaveRun` the last one that may have
    // run, if there is one; otherwise the last one.
    const LogRecord* decidingAttempt(const RequestTrace& trace, bool preferMayHaveRun)
    {
        const LogRecord* deciding = nullptr;
        for (const auto& step : trace.steps) {
            if (step.kind == "try-failed" && (!preferMayHaveRun || step.text("run") != "not-run"))
                deciding = &step;
        }
        return deciding ? deciding : lastOfKind(trace.steps, "try-failed");
    }

    std::string causeOfAttempt(const RequestTrace& trace, const LogRecord& failedAttempt)
    {
        auto cause = absl::StrCat("attempt ", failedAttempt.text("try"), " at target ",
            failedAttempt.text("target"), " failed: ", failedAttempt.text("reason"));
        if (!failedAttempt.text("detail").empty())
            absl::StrAppend(&cause, " (", failedAttempt.text("detail"), ")");
        absl::StrAppend(&cause, describeBreaker(trace, failedAttempt.text("target"), failedAttempt.time));
        const auto again = failedAttempt.text("again");
        if (!again.empty() && again != "yes")
            absl::StrAppend(&cause, "; not retried, because ", again);
        return cause;
    }

    // States when the node that refused the request had started, if the logs contain it.
    std::string describeNodeStart(const RequestTrace& trace, const LogRecord& refusal)
    {
        const LogRecord* start = nullptr;
        for (const auto& record : trace.stateRecords) {
            const bool starts = record.kind == "node" && record.text("event") == "started";
            if (starts && record.instance == refusal.instance && record.time <= refusal.time)
                start = &record;
        }
        return start ? absl::StrCat("; the node had started at ", formatClockTime(start->time))
                     : std::string();
    }

    std::string causeOfRefusal(const RequestTrace& trace, const LogRecord& refusal)
    {
        const auto reason = refusal.text("reason");
        const auto detail = refusal.text("detail");
        const auto* failedAttempt = decidingAttempt(trace, refusal.text("run") != "not-run");
        if (reason == "rate-exceeded")
            return absl::StrCat(
                "the organisation ", refusal.text("organisation"), " has reached its rate limit: ", detail);
        if (reason == "not-ready")
            return absl::StrCat("the node had not yet loaded its declarations or the directory",
                describeNodeStart(trace, refusal));
        if (!failedAttempt)
            return detail.empty()
                ? absl::StrCat("refused before any attempt at a target: ", reason)
                : absl::StrCat("refused before any attempt at a target: ", reason, " (", detail, ")");
        if (refusal.text("run") != "not-run")
            return causeOfAttempt(trace, *failedAttempt);
        return absl::StrCat("no target accepted the request (", summarizeFailedAttempts(trace),
            "); last failure: ", causeOfAttempt(trace, *failedAttempt));
    }

    // States the duration of an answered request, its failed attempts, and the stages of its last attempt.
    std::string describeTimings(const RequestTrace& trace, const LogRecord& answer)
    {
        const auto* attempt = lastOfKind(trace.steps, "attempt");
        auto text = absl::StrCat(
            "response after ", answer.text("ms"), " ms in ", answer.text("tries"), " attempt(s)");
        if (!summarizeFailedAttempts(trace).empty())
            absl::StrAppend(&text, " (failed: ", summarizeFailedAttempts(trace), ")");
        if (attempt)
            absl::StrAppend(&text, "; the last attempt waited ", attempt->text("queuedMs"),
                " ms for a slot (", attempt->text("slotsInUse"), " of ", attempt->text("slots"), " in use, ",
                attempt->text("waiting"), " requests waiting ahead) and ", attempt->text("firstByteMs"),
                " ms for the first byte");
        return text;
    }

    // Describes the first nested request that failed. A target may fail a request because a nested request of
    // its own failed.
    std::string describeFailedNestedRequest(const RequestTrace& trace)
    {
        for (const auto& nested : trace.nestedRequests) {
            if (nested.kind == "refusal")
                return absl::StrCat(
                    "; its nested request ", nested.request, " was refused: ", nested.text("reason"));
            if (statusOf(nested) >= firstServerErrorStatus)
                return absl::StrCat(
                    "; its nested request ", nested.request, " received status ", nested.text("status"));
        }
        return {};
    }

    void explainOutcome(RequestTrace& trace)
    {
        const auto* end = endRecord(trace);
        if (!end) {
            trace.outcome = "unknown";
            trace.cause = trace.steps.empty() ? "the logs contain no line about this request"
                                              : "the end of this request is not in these logs";
            return;
        }
        if (end->kind == "caller-gone") {
            trace.outcome = "the caller closed its connection before the response";
            const auto* last = decidingAttempt(trace, false);
            trace.cause = last ? absl::StrCat("before that: ", causeOfAttempt(trace, *last))
                               : "no attempt had failed by then";
            return;
        }
        if (end->kind == "refusal") {
            trace.outcome = absl::StrCat(
                "refused: ", end->text("reason"), ", ", end->text("run"), ", at ", end->instance);
            trace.cause = causeOfRefusal(trace, *end);
            return;
        }
        trace.outcome = absl::StrCat("status ", end->text("status"), " from target ", end->text("target"));
        trace.cause = statusOf(*end) < firstServerErrorStatus
            ? describeTimings(trace, *end)
            : absl::StrCat("the target itself responded with status ", end->text("status"),
                describeFailedNestedRequest(trace), "; ", describeTimings(trace, *end));
    }

    void listMissing(RequestTrace& trace)
    {
        if (trace.steps.empty()) {
            trace.missing.push_back("all log lines about the request");
            return;
        }
        if (!lastOfKind(trace.steps, "route") && !lastOfKind(trace.steps, "refusal"))
            trace.missing.push_back("the log lines of the entry node");
        std::set<std::string> tried;
        std::set<std::string> guarded;
        for (const auto& step : trace.steps) {
            if (step.kind == "route" && !step.text("target").empty())
                tried.insert(step.text("target"));
            if (step.kind == "attempt")
                guarded.insert(step.text("target"));
        }
        for (const auto& target : tried) {
            if (!guarded.contains(target))
                trace.missing.push_back(
                    absl::StrCat("the attempt record that the guard of ", target, " logs"));
        }
        for (const auto& record : trace.stateRecords) {
            if (record.kind == "log")
                trace.missing.push_back(absl::StrCat("log lines that ", record.instance, " dropped until ",
                    formatClockTime(record.time), ": ", record.text("lines")));
        }
    }

    bool isStateRecord(const std::string& kind)
    {
        static const std::set<std::string> kinds { "breaker", "cold", "ejection", "dependency", "directory",
            "configuration", "evacuation", "node", "log", "fleet-view" };
        return kinds.contains(kind);
    }

    // Selects the state records that concern the request: those about targets that were tried, and those of
    // participating nodes that concern no single target.
    std::vector<LogRecord> selectStateRecords(
        const std::deque<LogRecord>& stateRecords, const std::vector<LogRecord>& steps)
    {
        if (steps.empty())
            return {};
        std::set<std::string> instances;
        std::set<std::string> targets;
        for (const auto& step : steps) {
            instances.insert(step.instance);
            targets.insert(step.text("target"));
        }
        const auto first = steps.front().time;
        const auto last = steps.back().time;
        std::vector<LogRecord> result;
        // The latest declarations and directory records of each instance before the request. They stay in
        // force until the next one and are therefore selected regardless of their age.
        std::map<std::pair<std::string, std::string>, LogRecord> latestInForce;
        for (const auto& record : stateRecords) {
            // In records of kind "node", the field "target" holds the address of the target beside the node.
            const auto target = record.kind == "node" ? std::string() : record.text("target");
            const bool isRelevant
                = target.empty() ? instances.contains(record.instance) : targets.contains(target);
            if (!isRelevant)
                continue;
            const bool isNear = record.time >= first - contextBefore && record.time <= last + contextAfter;
            const bool staysInForce
                = record.kind == "configuration" || record.kind == "directory" || record.kind == "evacuation";
            if (record.kind == "log" && (record.time < first || record.time > last + droppedLinesMargin))
                continue;
            if (isNear)
                result.push_back(record);
            else if (staysInForce && record.time < first)
                latestInForce[{ record.instance, record.kind }] = record;
        }
        for (auto& [key, record] : latestInForce)
            result.push_back(std::move(record));
        sortByTime(result);
        return result;
    }

} // namespace

RequestTraceBuilder::RequestTraceBuilder(std::string request)
    : m_request(std::move(request))
{
}

bool RequestTraceBuilder::addLogLine(std::string_view line)
{
    const bool mentionsRequest = line.find(m_request) != std::string_view::npos;
    const bool aboutOtherRequest = !mentionsRequest && line.find("\"request\":") != std::string_view::npos;
    if (aboutOtherRequest)
        return false;
    auto record = parseLogRecord(line);
    if (!record)
        return false;
    if (record->request == m_request) {
        m_steps.push_back(std::move(*record));
        return true;
    }
    if (endsRequest(record->kind) && absl::StartsWith(record->request, m_request + ".")) {
        m_nestedRequests.push_back(std::move(*record));
        return false;
    }
    if (!isStateRecord(record->kind))
        return false;
    m_stateRecords.push_back(std::move(*record));
    if (m_stateRecords.size() > maximumStateRecords) {
        m_stateRecords.pop_front();
        m_stateRecordsDropped = true;
    }
    return false;
}

RequestTrace RequestTraceBuilder::finish() const
{
    RequestTrace trace;
    trace.request = m_request;
    trace.steps = m_steps;
    sortByTime(trace.steps);
    trace.nestedRequests = m_nestedRequests;
    sortByTime(trace.nestedRequests);
    trace.stateRecords = selectStateRecords(m_stateRecords, trace.steps);
    explainOutcome(trace);
    listMissing(trace);
    if (m_stateRecordsDropped)
        trace.missing.push_back(
            "state records from the beginning of the logs; only the most recent ones were kept");
    return trace;
}

std::string toText(const RequestTrace& trace)
{
    auto text = absl::StrCat(
        "request ", trace.request, "\noutcome: ", trace.outcome, "\ncause:   ", trace.cause, "\n");
    const auto append = [&text](const LogRecord& record) {
        absl::StrAppend(&text, "  ", formatClockTime(record.time), "  ", record.instance, "  ", record.kind,
            "  ", formatFields(record), "\n");
    };
    absl::StrAppend(&text, "steps:\n");
    for (const auto& step : trace.steps)
        append(step);
    if (!trace.nestedRequests.empty())
        absl::StrAppend(&text, "nested requests that targets made while they ran it:\n");
    for (const auto& nested : trace.nestedRequests)
        append(nested);
    absl::StrAppend(&text, "state of the participating nodes:\n");
    for (const auto& record : trace.stateRecords)
        append(record);
    for (const auto& missing : trace.missing)
        absl::StrAppend(&text, "missing: ", missing, "\n");
    return text;
}

nlohmann::ordered_json toJson(const RequestTrace& trace)
{
    nlohmann::ordered_json json { { "request", trace.request }, { "outcome", trace.outcome },
        { "cause", trace.cause } };
    for (const auto& [name, records] : { std::pair("steps", &trace.steps),
             std::pair("calls", &trace.nestedRequests), std::pair("around", &trace.stateRecords) }) {
        json[name] = nlohmann::ordered_json::array();
        for (const auto& record : *records)
            json[name].push_back(nlohmann::ordered_json(record.fields));
    }
    json["missing"] = trace.missing;
    return json;
}

} // namespace tarragonhaven
