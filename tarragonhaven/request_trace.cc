// The cause is that of the last line that ended the request. A refusal names it itself when no target was
// tried; else it lies with the tries, of which the one that may have run, or the last, decided. What the
// guard of that target believed then is told beside it: a breaker that opened right after says that the
// request was among the first to meet a failure, one that was open before that the guard knew.

#include "tarragonhaven/request_trace.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <map>
#include <set>

namespace tarragonhaven {

namespace {

    // How far around a request beliefs are told.
    constexpr absl::Duration contextBefore = absl::Seconds(10);
    constexpr absl::Duration contextAfter = absl::Seconds(2);
    constexpr absl::Duration droppedLinesMargin = absl::Seconds(2);
    constexpr int firstServerErrorStatus = 500;

    int statusOf(const LogRecord& record) { return record.fields.value("status", 0); }

    std::string formatClockTime(absl::Time time)
    {
        return absl::FormatTime("%H:%M:%E3S", time, absl::UTCTimeZone());
    }

    // The fields of a line in words, without those that every line has.
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

    // The line that ended the request at its entry, or null.
    const LogRecord* endRecord(const RequestTrace& trace)
    {
        const LogRecord* end = nullptr;
        for (const auto& step : trace.steps) {
            if (endsRequest(step.kind))
                end = &step;
        }
        return end;
    }

    // What the guard of a target believed of it around a moment.
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
            return absl::StrCat("; its guard held requests back, in state ", last->text("state"), " since ",
                formatClockTime(last->time), " (", last->text("failures"), " failures to ",
                last->text("answers"), " answers)");
        if (next && next->text("state") == "open")
            return absl::StrCat("; its guard began to hold requests back at ", formatClockTime(next->time),
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

    // The try that decided: the last that may have run, else the last.
    const LogRecord* decidingAttempt(const RequestTrace& trace, bool mayHaveRun)
    {
        const LogRecord* deciding = nullptr;
        for (const auto& step : trace.steps) {
            if (step.kind == "try-failed" && (!mayHaveRun || step.text("run") != "not-run"))
                deciding = &step;
        }
        return deciding ? deciding : lastOfKind(trace.steps, "try-failed");
    }

    std::string causeOfAttempt(const RequestTrace& trace, const LogRecord& failedAttempt)
    {
        auto cause = absl::StrCat("try ", failedAttempt.text("try"), " at target ",
            failedAttempt.text("target"), " ended with ", failedAttempt.text("reason"));
        if (!failedAttempt.text("detail").empty())
            absl::StrAppend(&cause, " (", failedAttempt.text("detail"), ")");
        absl::StrAppend(&cause, describeBreaker(trace, failedAttempt.text("target"), failedAttempt.time));
        const auto again = failedAttempt.text("again");
        if (!again.empty() && again != "yes")
            absl::StrAppend(&cause, "; not tried again, since ", again);
        return cause;
    }

    // When the node that refused had started, if it is known.
    std::string describeNodeStart(const RequestTrace& trace, const LogRecord& refusal)
    {
        const LogRecord* start = nullptr;
        for (const auto& record : trace.stateRecords) {
            const bool starts = record.kind == "node" && record.text("event") == "started";
            if (starts && record.instance == refusal.instance && record.time <= refusal.time)
                start = &record;
        }
        return start ? absl::StrCat("; it had started at ", formatClockTime(start->time)) : std::string();
    }

    std::string causeOfRefusal(const RequestTrace& trace, const LogRecord& refusal)
    {
        const auto reason = refusal.text("reason");
        const auto detail = refusal.text("detail");
        const auto* failedAttempt = decidingAttempt(trace, refusal.text("run") != "not-run");
        if (reason == "rate-exceeded")
            return absl::StrCat(
                "the organisation ", refusal.text("organisation"), " is at its limit: ", detail);
        if (reason == "not-ready")
            return absl::StrCat(
                "the node had no declarations or no directory yet", describeNodeStart(trace, refusal));
        if (!failedAttempt)
            return detail.empty()
                ? absl::StrCat("refused before any target was tried: ", reason)
                : absl::StrCat("refused before any target was tried: ", reason, " (", detail, ")");
        if (refusal.text("run") != "not-run")
            return causeOfAttempt(trace, *failedAttempt);
        return absl::StrCat("no target took the request (", summarizeFailedAttempts(trace), "); at last ",
            causeOfAttempt(trace, *failedAttempt));
    }

    // Where the time of the answered try went.
    std::string describeTimings(const RequestTrace& trace, const LogRecord& answer)
    {
        const auto* attempt = lastOfKind(trace.steps, "attempt");
        auto text
            = absl::StrCat("answered after ", answer.text("ms"), " ms in ", answer.text("tries"), " tries");
        if (!summarizeFailedAttempts(trace).empty())
            absl::StrAppend(&text, " (before it: ", summarizeFailedAttempts(trace), ")");
        if (attempt)
            absl::StrAppend(&text, "; the last try waited ", attempt->text("queuedMs"), " ms for a slot (",
                attempt->text("slotsInUse"), " of ", attempt->text("slots"), " in use, ",
                attempt->text("waiting"), " before it) and ", attempt->text("firstByteMs"),
                " ms for the first byte");
        return text;
    }

    // A target that fails a request may do so since a call of its own failed.
    std::string describeFailedNestedRequest(const RequestTrace& trace)
    {
        for (const auto& nested : trace.nestedRequests) {
            if (nested.kind == "refusal")
                return absl::StrCat("; its call ", nested.request, " was refused: ", nested.text("reason"));
            if (statusOf(nested) >= firstServerErrorStatus)
                return absl::StrCat("; its call ", nested.request, " was answered ", nested.text("status"));
        }
        return {};
    }

    void explainOutcome(RequestTrace& trace)
    {
        const auto* end = endRecord(trace);
        if (!end) {
            trace.outcome = "unknown";
            trace.cause = trace.steps.empty() ? "no line about this request" : "its end is not in these logs";
            return;
        }
        if (end->kind == "caller-gone") {
            trace.outcome = "the caller closed its connection before an answer";
            const auto* last = decidingAttempt(trace, false);
            trace.cause = last ? absl::StrCat("until then: ", causeOfAttempt(trace, *last))
                               : "no try had failed by then";
            return;
        }
        if (end->kind == "refusal") {
            trace.outcome = absl::StrCat(
                "refused: ", end->text("reason"), ", ", end->text("run"), ", at ", end->instance);
            trace.cause = causeOfRefusal(trace, *end);
            return;
        }
        trace.outcome = absl::StrCat("status ", end->text("status"), " of target ", end->text("target"));
        trace.cause = statusOf(*end) < firstServerErrorStatus
            ? describeTimings(trace, *end)
            : absl::StrCat("the target itself answered ", end->text("status"),
                describeFailedNestedRequest(trace), "; ", describeTimings(trace, *end));
    }

    void listMissing(RequestTrace& trace)
    {
        if (trace.steps.empty()) {
            trace.missing.push_back("every line about the request");
            return;
        }
        if (!lastOfKind(trace.steps, "route") && !lastOfKind(trace.steps, "refusal"))
            trace.missing.push_back("the lines of its entry");
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
                trace.missing.push_back(absl::StrCat("what the guard of ", target, " saw"));
        }
        for (const auto& record : trace.stateRecords) {
            if (record.kind == "log")
                trace.missing.push_back(absl::StrCat("lines that ", record.instance, " left out until ",
                    formatClockTime(record.time), ": ", record.text("lines")));
        }
    }

    bool isStateRecord(const std::string& kind)
    {
        static const std::set<std::string> kinds { "breaker", "ejection", "dependency", "directory",
            "configuration", "node", "log", "fleet-view" };
        return kinds.contains(kind);
    }

    // Beliefs of nodes that took part, about targets that were tried or about all.
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
        // The latest line of each kind that says what was in force at an instance, however old it is.
        std::map<std::pair<std::string, std::string>, LogRecord> latestInForce;
        for (const auto& record : stateRecords) {
            // Of a node's own lines the target is the address beside it.
            const auto target = record.kind == "node" ? std::string() : record.text("target");
            const bool isRelevant
                = target.empty() ? instances.contains(record.instance) : targets.contains(target);
            if (!isRelevant)
                continue;
            const bool isNear = record.time >= first - contextBefore && record.time <= last + contextAfter;
            const bool staysInForce = record.kind == "configuration" || record.kind == "directory";
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
        trace.missing.push_back("beliefs from the beginning of the logs, which were too many to keep");
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
    absl::StrAppend(&text, "its way:\n");
    for (const auto& step : trace.steps)
        append(step);
    if (!trace.nestedRequests.empty())
        absl::StrAppend(&text, "calls that targets made under it:\n");
    for (const auto& call : trace.nestedRequests)
        append(call);
    absl::StrAppend(&text, "what the nodes on its way believed:\n");
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
