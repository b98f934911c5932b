#pragma once

#include "tarragonhaven/attempt_planner.h"
#include "tarragonhaven/service_health.h"
#include "tarragonhaven/spillover/service_spill.h"
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

// How the modelled entries choose targets.
enum class SpillPolicy {
    // Uses no target of another data centre.
    AlwaysLocal,
    // The selection of the product without a plan.
    Current,
    Planned,
    // Knows every free slot at the moment of its choice, and uses the nearest.
    Oracle,
};

// A fleet, its load and its faults. Times are in seconds of virtual time.
struct SpillShape {
    int dataCentres = 3;
    int targetsPerDataCentre = 5;
    int entriesPerDataCentre = 9;
    // The demand of each data centre as a multiple of the capacity of its targets, while it lasts.
    std::vector<double> load { 0.6, 0.6, 0.6 };
    double meanServiceSeconds = 0.25;
    double durationSeconds = 20;
    // Results count requests from this time on.
    double countedFrom = 4;
    // The demand of data centre 0 is multiplied by `burst` from this time on.
    double burstFrom = -1;
    double burst = 1;
    // From this time on, four of five targets of data centre 0 cannot be reached.
    double lostFrom = -1;
    // Entries of data centre 0 reach no target of data centre 1, whereas the other direction works.
    bool cut = false;
    // The share of targets that report that they are idle, and the share of reports that are lost.
    double falseReporters = 0;
    double lostReports = 0;
    double largeBodyShare = 0.1;
    double secondsPerMegabyte = SpillOptions {}.secondsPerMegabyte;
};

struct SpillResult {
    int requests = 0;
    int served = 0;
    int inObjective = 0;
    // Means over what was served, or was sent to another data centre.
    double meanSeconds = 0;
    int remoteAttempts = 0;
    double remoteMegabytes = 0;
    // First attempts of data centre 0 that left it, as a share, for each second from the start.
    std::vector<double> sentShares;
    // The same by size of body, over the whole run.
    std::map<BodySize, double> sentShareBySize;
    // Changes of shares at all entries.
    int changes = 0;

    [[nodiscard]] double servedShare() const { return static_cast<double>(served) / requests; }
    [[nodiscard]] double inObjectiveShare() const { return static_cast<double>(inObjective) / requests; }
};

// A service in several data centres whose demand and targets are uneven, with a virtual clock. Entries plan,
// place and choose with the code of the product and learn of targets by reports; messages take the latency of
// their link. Guards serve in order of arrival and refuse what they cannot serve in time. A run is determined
// by its shape, policy and seed.
class SpillModel {
public:
    SpillModel(SpillShape shape, SpillPolicy policy, unsigned seed);
    SpillResult run();

private:
    struct Request {
        std::size_t entry = 0;
        util::Time arrivedAt {};
        util::Time queueDeadline {};
        std::unique_ptr<AttemptPlanner> planner;
        std::size_t target = 0;
        bool mayQueue = true;
        bool waiting = false;
        bool large = false;
        // The time that the request takes at a target of typical speed.
        double workSeconds = 0;
    };
    using RequestPointer = std::shared_ptr<Request>;
    struct Guard {
        int slots = 1;
        double speed = 1;
        int inUse = 0;
        bool lost = false;
        bool lies = false;
        std::deque<RequestPointer> waiting;
        double meanHoldSeconds = 0;
        TargetReport report;
    };
    struct Entry {
        std::unique_ptr<ServiceHealth> health;
        std::unique_ptr<ServiceSpill> spill;
        RoundTrips roundTrips;
        std::map<TargetName, util::Time> avoided;
    };

    void after(double seconds, std::function<void()> action);
    [[nodiscard]] double elapsed() const { return util::toSeconds(m_now - m_start); }
    double random() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    [[nodiscard]] int dataCentreOf(std::size_t target) const;
    [[nodiscard]] int dataCentreOfEntry(std::size_t entry) const;
    [[nodiscard]] double latency(const Request& request) const;
    void tick();
    void arrive(int dataCentre);
    void attempt(const RequestPointer& request);
    const Target* choose(Request& request);
    const Target* chooseWithAllKnowledge(const Request& request) const;
    void reach(const RequestPointer& request);
    void refuse(const RequestPointer& request, RefusalReason reason);
    void failToReach(const RequestPointer& request);
    void start(const RequestPointer& request);
    void finish(const RequestPointer& request, double seconds);
    void reportFinished(const RequestPointer& request, double seconds);
    void report(const RequestPointer& request, std::function<void()> then);
    void loseTargets();
    void countFirstAttempt(const Request& request, bool remote);
    [[nodiscard]] bool counts(const Request& request) const;

    SpillShape m_shape;
    SpillPolicy m_policy;
    EntryOptions m_options;
    std::mt19937_64 m_random;
    // Draws what does not depend on the policy: arrivals and work, which are thus the same for all.
    std::mt19937_64 m_demandRandom;
    util::Time m_start { std::chrono::hours(1) };
    util::Time m_now = m_start;
    EventQueue m_events;
    Service m_service;
    std::vector<Guard> m_guards;
    std::vector<Entry> m_entries;
    std::vector<double> m_capacity;
    std::vector<int> m_firstAttempts;
    std::vector<int> m_firstAttemptsSent;
    std::map<BodySize, std::pair<int, int>> m_sentBySize;
    SpillResult m_result;
};

} // namespace tarragonhaven::testing
