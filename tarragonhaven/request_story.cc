// The cause is that of the last line that ended the request. A refusal names it itself when no target was
// tried; else it lies with the tries, of which the one that may have run, or the last, decided. What the
// guard of that target believed then is told beside it: a breaker that opened right after says that the
// request was among the first to meet a failure, one that was open before that the guard knew.

#include "tarragonhaven/request_story.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <map>
#include <set>

namespace tarragonhaven {

namespace {

    // How far around a request beliefs are told.
    constexpr absl::Duration before = absl::Seconds(10);
    constexpr absl::Duration after = absl::Seconds(2);
    constexpr absl::Duration leftOutMargin = absl::Seconds(2);
    constexpr int firstServerErrorStatus = 500;

    int status(const LogRecord& record) { return record.fields.value("status", 0); }

    std::string clockTime(absl::Time time)
    {
        return absl::FormatTime("%H:%M:%E3S", time, absl::UTCTimeZone());
    }

    // The fields of a line in words, without those that every line has.
    std::string describe(const LogRecord& record)
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

    const LogRecord* lastOf(const std::vector<LogRecord>& records, std::string_view kind)
    {
        const auto found = std::find_if(records.rbegin(), records.rend(),
            [kind](const LogRecord& record) { return record.kind == kind; });
        return found == records.rend() ? nullptr : &*found;
    }

    bool isEnd(const std::string& kind)
    {
        return kind == "answer" || kind == "refusal" || kind == "caller-gone";
    }

    // The line that ended the request at its entry, or null.
    const LogRecord* endOf(const RequestStory& story)
    {
        const LogRecord* end = nullptr;
        for (const auto& step : story.steps) {
            if (isEnd(step.kind))
                end = &step;
        }
        return end;
    }

    // What the guard of a target believed of it around a moment.
    std::string breakerAround(const RequestStory& story, const std::string& target, absl::Time when)
    {
        const LogRecord* last = nullptr;
        const LogRecord* next = nullptr;
        for (const auto& record : story.around) {
            if (record.kind != "breaker" || record.text("target") != target)
                continue;
            if (record.time < when)
                last = &record;
            else if (!next)
                next = &record;
        }
        if (last && last->text("state") != "closed")
            return absl::StrCat("; its guard held requests back, in state ", last->text("state"), " since ",
                clockTime(last->time), " (", last->text("failures"), " failures to ", last->text("answers"),
                " answers)");
        if (next && next->text("state") == "open")
            return absl::StrCat("; its guard began to hold requests back at ", clockTime(next->time),
                ", so this request was among the first to meet the failure");
        return {};
    }

    std::string triesInWords(const RequestStory& story)
    {
        std::map<std::string, int> counts;
        for (const auto& step : story.steps) {
            if (step.kind == "try-failed")
                ++counts[step.text("reason")];
        }
        std::vector<std::string> parts;
        for (const auto& [reason, count] : counts)
            parts.push_back(absl::StrCat(count, " x ", reason));
        return absl::StrJoin(parts, ", ");
    }

    // The try that decided: the last that may have run, else the last.
    const LogRecord* decidingTry(const RequestStory& story, bool mayHaveRun)
    {
        const LogRecord* decided = nullptr;
        for (const auto& step : story.steps) {
            if (step.kind == "try-failed" && (!mayHaveRun || step.text("run") != "not-run"))
                decided = &step;
        }
        return decided ? decided : lastOf(story.steps, "try-failed");
    }

    std::string causeOfTry(const RequestStory& story, const LogRecord& failed)
    {
        auto cause = absl::StrCat("try ", failed.text("try"), " at target ", failed.text("target"),
            " ended with ", failed.text("reason"));
        if (!failed.text("detail").empty())
            absl::StrAppend(&cause, " (", failed.text("detail"), ")");
        absl::StrAppend(&cause, breakerAround(story, failed.text("target"), failed.time));
        const auto again = failed.text("again");
        if (!again.empty() && again != "yes")
            absl::StrAppend(&cause, "; not tried again, since ", again);
        return cause;
    }

    // When the node that refused had started, if it is known.
    std::string startBefore(const RequestStory& story, const LogRecord& refusal)
    {
        const LogRecord* start = nullptr;
        for (const auto& record : story.around) {
            const bool starts = record.kind == "node" && record.text("event") == "started";
            if (starts && record.instance == refusal.instance && record.time <= refusal.time)
                start = &record;
        }
        return start ? absl::StrCat("; it had started at ", clockTime(start->time)) : std::string();
    }

    std::string causeOfRefusal(const RequestStory& story, const LogRecord& refusal)
    {
        const auto reason = refusal.text("reason");
        const auto detail = refusal.text("detail");
        const auto* failed = decidingTry(story, refusal.text("run") != "not-run");
        if (reason == "rate-exceeded")
            return absl::StrCat(
                "the organisation ", refusal.text("organisation"), " is at its limit: ", detail);
        if (reason == "not-ready")
            return absl::StrCat(
                "the node had no declarations or no directory yet", startBefore(story, refusal));
        if (!failed)
            return detail.empty()
                ? absl::StrCat("refused before any target was tried: ", reason)
                : absl::StrCat("refused before any target was tried: ", reason, " (", detail, ")");
        if (refusal.text("run") != "not-run")
            return causeOfTry(story, *failed);
        return absl::StrCat(
            "no target took the request (", triesInWords(story), "); at last ", causeOfTry(story, *failed));
    }

    // Where the time of the answered try went.
    std::string timeInWords(const RequestStory& story, const LogRecord& answer)
    {
        const auto* attempt = lastOf(story.steps, "attempt");
        auto words
            = absl::StrCat("answered after ", answer.text("ms"), " ms in ", answer.text("tries"), " tries");
        if (!triesInWords(story).empty())
            absl::StrAppend(&words, " (before it: ", triesInWords(story), ")");
        if (attempt)
            absl::StrAppend(&words, "; the last try waited ", attempt->text("queuedMs"), " ms for a slot (",
                attempt->text("slotsInUse"), " of ", attempt->text("slots"), " in use, ",
                attempt->text("waiting"), " before it) and ", attempt->text("firstByteMs"),
                " ms for the first byte");
        return words;
    }

    // A target that fails a request may do so since a call of its own failed.
    std::string callsInWords(const RequestStory& story)
    {
        for (const auto& call : story.calls) {
            if (call.kind == "refusal")
                return absl::StrCat("; its call ", call.request, " was refused: ", call.text("reason"));
            if (status(call) >= firstServerErrorStatus)
                return absl::StrCat("; its call ", call.request, " was answered ", call.text("status"));
        }
        return {};
    }

    void explainEnd(RequestStory& story)
    {
        const auto* end = endOf(story);
        if (!end) {
            story.outcome = "unknown";
            story.cause = story.steps.empty() ? "no line about this request" : "its end is not in these logs";
            return;
        }
        if (end->kind == "caller-gone") {
            story.outcome = "the caller closed its connection before an answer";
            const auto* last = decidingTry(story, false);
            story.cause
                = last ? absl::StrCat("until then: ", causeOfTry(story, *last)) : "no try had failed by then";
            return;
        }
        if (end->kind == "refusal") {
            story.outcome = absl::StrCat(
                "refused: ", end->text("reason"), ", ", end->text("run"), ", at ", end->instance);
            story.cause = causeOfRefusal(story, *end);
            return;
        }
        story.outcome = absl::StrCat("status ", end->text("status"), " of target ", end->text("target"));
        story.cause = status(*end) < firstServerErrorStatus
            ? timeInWords(story, *end)
            : absl::StrCat("the target itself answered ", end->text("status"), callsInWords(story), "; ",
                timeInWords(story, *end));
    }

    void noteMissing(RequestStory& story)
    {
        if (story.steps.empty()) {
            story.missing.push_back("every line about the request");
            return;
        }
        if (!lastOf(story.steps, "route") && !lastOf(story.steps, "refusal"))
            story.missing.push_back("the lines of its entry");
        std::set<std::string> tried;
        std::set<std::string> guarded;
        for (const auto& step : story.steps) {
            if (step.kind == "route" && !step.text("target").empty())
                tried.insert(step.text("target"));
            if (step.kind == "attempt")
                guarded.insert(step.text("target"));
        }
        for (const auto& target : tried) {
            if (!guarded.contains(target))
                story.missing.push_back(absl::StrCat("what the guard of ", target, " saw"));
        }
        for (const auto& record : story.around) {
            if (record.kind == "log")
                story.missing.push_back(absl::StrCat("lines that ", record.instance, " left out until ",
                    clockTime(record.time), ": ", record.text("lines")));
        }
    }

    bool isBelief(const std::string& kind)
    {
        static const std::set<std::string> kinds { "breaker", "ejection", "dependency", "directory",
            "configuration", "node", "log", "fleet-view" };
        return kinds.contains(kind);
    }

    // Beliefs of nodes that took part, about targets that were tried or about all.
    std::vector<LogRecord> around(const std::deque<LogRecord>& beliefs, const std::vector<LogRecord>& steps)
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
        std::map<std::pair<std::string, std::string>, LogRecord> inForce;
        for (const auto& belief : beliefs) {
            // Of a node's own lines the target is the address beside it.
            const auto target = belief.kind == "node" ? std::string() : belief.text("target");
            const bool concerned
                = target.empty() ? instances.contains(belief.instance) : targets.contains(target);
            if (!concerned)
                continue;
            const bool near = belief.time >= first - before && belief.time <= last + after;
            const bool state = belief.kind == "configuration" || belief.kind == "directory";
            if (belief.kind == "log" && (belief.time < first || belief.time > last + leftOutMargin))
                continue;
            if (near)
                result.push_back(belief);
            else if (state && belief.time < first)
                inForce[{ belief.instance, belief.kind }] = belief;
        }
        for (auto& [key, record] : inForce)
            result.push_back(std::move(record));
        sortByTime(result);
        return result;
    }

} // namespace

RequestStoryBuilder::RequestStoryBuilder(std::string request)
    : m_request(std::move(request))
{
}

bool RequestStoryBuilder::note(std::string_view line)
{
    const bool ours = line.find(m_request) != std::string_view::npos;
    const bool ofAnother = !ours && line.find("\"request\":") != std::string_view::npos;
    if (ofAnother)
        return false;
    auto record = parseLogRecord(line);
    if (!record)
        return false;
    if (record->request == m_request) {
        m_steps.push_back(std::move(*record));
        return true;
    }
    if (isEnd(record->kind) && absl::StartsWith(record->request, m_request + ".")) {
        m_calls.push_back(std::move(*record));
        return false;
    }
    if (!isBelief(record->kind))
        return false;
    m_beliefs.push_back(std::move(*record));
    if (m_beliefs.size() > mostBeliefs) {
        m_beliefs.pop_front();
        m_beliefsDropped = true;
    }
    return false;
}

RequestStory RequestStoryBuilder::finish() const
{
    RequestStory story;
    story.request = m_request;
    story.steps = m_steps;
    sortByTime(story.steps);
    story.calls = m_calls;
    sortByTime(story.calls);
    story.around = around(m_beliefs, story.steps);
    explainEnd(story);
    noteMissing(story);
    if (m_beliefsDropped)
        story.missing.push_back("beliefs from the beginning of the logs, which were too many to keep");
    return story;
}

std::string toText(const RequestStory& story)
{
    auto text = absl::StrCat(
        "request ", story.request, "\noutcome: ", story.outcome, "\ncause:   ", story.cause, "\n");
    const auto append = [&text](const LogRecord& record) {
        absl::StrAppend(&text, "  ", clockTime(record.time), "  ", record.instance, "  ", record.kind, "  ",
            describe(record), "\n");
    };
    absl::StrAppend(&text, "its way:\n");
    for (const auto& step : story.steps)
        append(step);
    if (!story.calls.empty())
        absl::StrAppend(&text, "calls that targets made under it:\n");
    for (const auto& call : story.calls)
        append(call);
    absl::StrAppend(&text, "what the nodes on its way believed:\n");
    for (const auto& belief : story.around)
        append(belief);
    for (const auto& missing : story.missing)
        absl::StrAppend(&text, "missing: ", missing, "\n");
    return text;
}

nlohmann::ordered_json toJson(const RequestStory& story)
{
    nlohmann::ordered_json json { { "request", story.request }, { "outcome", story.outcome },
        { "cause", story.cause } };
    for (const auto& [name, records] : { std::pair("steps", &story.steps), std::pair("calls", &story.calls),
             std::pair("around", &story.around) }) {
        json[name] = nlohmann::ordered_json::array();
        for (const auto& record : *records)
            json[name].push_back(nlohmann::ordered_json(record.fields));
    }
    json["missing"] = story.missing;
    return json;
}

} // namespace tarragonhaven
