#pragma once

#include "tarragonhaven/attempt_planner.h"
#include "tarragonhaven/service_health.h"
#include "tarragonhaven/testing/event_queue.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace tarragonhaven::testing {

// What the callers of an OverloadedService experienced.
struct OverloadResult {
    int requests = 0;
    int servedInObjective = 0;
    int servedLate = 0;
    int refused = 0;
    int attempts = 0;
    // Attempts at targets in another data centre than the entry's, and those of them that were served.
    int remoteAttempts = 0;
    int remoteServed = 0;
    // Requests and refusals by rank, while a data centre is evacuated.
    std::map<int, int> requestsByRank;
    std::map<int, int> refusedByRank;
    // Requests that targets of an evacuated data centre started after the bound.
    int startedInEvacuated = 0;
    // The sum of the times from the arrival of refused requests to their refusal, in seconds.
    double secondsUntilRefused = 0;
};

// A service with targets and entry nodes in three data centres under a steady load, with a virtual clock.
// Messages take no time. Entry nodes plan attempts and choose targets with the code of the product, and learn
// of targets by the reports that come with responses and refusals; guards queue in order of arrival and
// refuse requests that they expect to exceed their queue timeout.
class OverloadedService {
public:
    struct Shape {
        int dataCentres = 3;
        int targetsPerDataCentre = 5;
        int slots = 3;
        int entriesPerDataCentre = 9;
        double meanServiceSeconds = 0.2;
        double objectiveSeconds = 0.6;
        double predictedTimeShare = 0.65;
        double requestsPerSecond = 0;
        double durationSeconds = 20;
        // Requests have random ranks from 0 to `ranks` - 1, and targets serve the lowest first.
        int ranks = 1;
        // Data centre 0 is evacuated from this time on, if it is not negative. Nodes learn of it up to
        // `learnedWithinSeconds` later; a third of the guards there only from that time on.
        double evacuatedFromSeconds = -1;
        double learnedWithinSeconds = 2;
    };

    OverloadedService(Shape shape, EntryOptions options, unsigned seed);
    OverloadResult run();

private:
    struct Request {
        std::size_t entry = 0;
        util::Time arrivedAt {};
        util::Time queueDeadline {};
        std::unique_ptr<AttemptPlanner> planner;
        std::size_t target = 0;
        bool remote = false;
        bool waiting = false;
        int rank = 0;
    };
    using RequestPointer = std::shared_ptr<Request>;
    struct GuardModel {
        int inUse = 0;
        bool evacuated = false;
        std::deque<RequestPointer> waiting;
        double meanHoldSeconds = 0;
        TargetReport report;
    };

    void scheduleEvacuation(const Service& service);
    void evacuateGuard(std::size_t target);
    void schedule(util::Time at, std::function<void()> action);
    void arrive();
    void attempt(const RequestPointer& request);
    void refuse(const RequestPointer& request, RefusalReason reason);
    void start(const RequestPointer& request);
    void finish(const RequestPointer& request, double serviceSeconds);
    void startWaiting(std::size_t target);
    void sendReport(const RequestPointer& request);

    Shape m_shape;
    EntryOptions m_options;
    std::mt19937_64 m_random;
    util::Time m_now { std::chrono::hours(1) };
    util::Time m_end {};
    std::optional<util::Time> m_evacuatedFrom;
    EventQueue m_events;
    std::vector<GuardModel> m_guards;
    std::vector<std::unique_ptr<ServiceHealth>> m_entries;
    OverloadResult m_result;
};

} // namespace tarragonhaven::testing
