#pragma once

#include "tarragonhaven/log_record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace tarragonhaven {

// How a fleet placed its requests, from the logs of its nodes: the attempts per request and why they failed,
// the time until a target received a request, and the refusals and failures by service and rank. Lines may be
// given in any order within a node, but those of a request by its entry node have to be in order. Times of
// different nodes are compared only to tell whether a slot was free elsewhere, which is an estimate.
//
//   LoadSummary summary;
//   for (const auto& line : lines)
//       summary.addLogLine(line);
//   const auto table = summary.finish();
//
// Memory use grows with the number of requests.
class LoadSummary {
public:
    // The results of the requests of one service and rank.
    struct Results {
        std::uint64_t requests = 0;
        std::uint64_t answered = 0;
        // Refused because the organisation was over its limit.
        std::uint64_t refusedOverLimit = 0;
        // Refused as "not run" for any other reason.
        std::uint64_t refused = 0;
        // Ended with an unknown outcome or with a server error of a target.
        std::uint64_t failed = 0;

        friend bool operator==(const Results&, const Results&) = default;
    };
    struct GroupName {
        std::string service;
        // Empty if the request was refused before its service and rank were logged.
        std::string rank;

        friend auto operator<=>(const GroupName&, const GroupName&) = default;
    };

    struct Table {
        std::uint64_t requests = 0;
        std::uint64_t attempts = 0;
        // Attempts that the guard of a target refused, by reason, and attempts that failed otherwise.
        std::map<std::string, std::uint64_t> guardRefusals;
        std::map<std::string, std::uint64_t> otherFailures;
        // Requests that a guard has refused at least once.
        std::uint64_t requestsWithGuardRefusal = 0;
        // Requests that ended as refused, not because of a limit, while another target of the service had a
        // free slot according to an attempt shortly before.
        std::uint64_t refusedWithFreeSlot = 0;
        // Half, nine tenths and 99 hundredths of the requests had reached a target after this many
        // milliseconds.
        std::int64_t medianMs = 0;
        std::int64_t p90Ms = 0;
        std::int64_t p99Ms = 0;
        // Probes of targets whose breakers were not closed, and those whose requests ended without success.
        std::uint64_t probes = 0;
        std::uint64_t probesOfFailedRequests = 0;
        std::map<GroupName, Results> groups;
        // Results by organisation, without the ranks.
        std::map<std::string, Results> organisations;
    };

    void addLogLine(std::string_view line);
    // Returns the table of the lines added so far. Requests without a final line are not counted.
    [[nodiscard]] Table finish() const;

private:
    enum class Result {
        None,
        Answered,
        RefusedOverLimit,
        Refused,
        Failed,
    };
    struct Request {
        GroupName group;
        std::string organisation;
        int attempts = 0;
        bool refusedByGuard = false;
        bool probed = false;
        bool freeSlotElsewhere = false;
        absl::Time firstRoutedAt;
        absl::Time lastRoutedAt;
        // Set once a target has received the request.
        std::optional<std::int64_t> msToTarget;
        Result result = Result::None;
    };

    void addRoute(Request& request, const LogRecord& record);
    void addAttempt(Request& request, const LogRecord& record);
    void addFailedAttempt(Request& request, const LogRecord& record);
    void addRefusal(Request& request, const LogRecord& record);
    [[nodiscard]] bool hasFreeSlot(const std::string& service, absl::Time at) const;

    std::map<std::string, Request> m_requests;
    std::map<std::string, std::uint64_t> m_guardRefusals;
    std::map<std::string, std::uint64_t> m_otherFailures;
    // When an attempt last found a free slot at a target, by service and target.
    std::map<std::string, std::map<std::string, absl::Time>> m_freeSlots;
};

// Formats the table as lines for people, and as a JSON object.
std::string toText(const LoadSummary::Table& table);
nlohmann::ordered_json toJson(const LoadSummary::Table& table);

} // namespace tarragonhaven
