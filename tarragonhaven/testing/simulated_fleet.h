#pragma once

#include "tarragonhaven/control_core.h"
#include "tarragonhaven/declaration.h"
#include "tarragonhaven/testing/rate_oracle.h"
#include "tarragonhaven/testing/shared_manual_clock.h"
#include "tarragonhaven/token_cache.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace tarragonhaven::testing {

// Rates and probabilities of injected faults. Plain rates are expected events per node and second; the
// comments give the others.
struct SimulatedFaults {
    // Restarts of a node, which then starts with a random one of the revisions published so far.
    double restarts = 0;
    double pauses = 0;
    util::Duration longestPause = std::chrono::seconds(6);
    // Cuts of a link in one direction, and the repair of a random cut link.
    double linkCuts = 0;
    double linkRepairs = 0.2;
    // Probabilities that a datagram is lost, duplicated, or delayed by up to `longestLateDelay`.
    double lossProbability = 0;
    double duplicateProbability = 0;
    double lateProbability = 0;
    util::Duration longestLateDelay = std::chrono::milliseconds(700);
    // Published changes of the members of a group, per second over the whole fleet.
    double memberChanges = 0;
    // Probability that a read from the platform returns a random published revision instead of the newest.
    double staleReads = 0;
    // Probability that a node's attempt to get a new revision from the platform or a peer fails.
    double updateFailures = 0;
    // Maximum relative deviation of the rate of each node's clock, in both directions.
    double clockDrift = 0;
};

struct SimulatedFleetOptions {
    int dataCentres = 2;
    int instancesPerDataCentre = 3;
    SimulatedFaults faults;
    ControlOptions control;
    // The step of the simulated clock.
    util::Duration step = std::chrono::milliseconds(2);
};

// A small fleet of control cores and token caches under one simulated clock. The simulated network delays,
// loses and duplicates messages and cuts links in one direction; nodes restart and pause. This is a test
// fixture for the decisions of control cores, not a model of a cluster: requests are only
// admitted or refused, and do not reach a target. The same seed gives the same run.
class SimulatedFleet {
public:
    using Core = ControlCore<SharedManualClock, std::mt19937_64>;

    SimulatedFleet(const SimulatedFleetOptions& options, std::uint64_t seed);

    // Advances the clock by one step.
    void step();
    void run(util::Duration time);
    // Lets a request of the organisation arrive at a node. If it is admitted, the organisation's oracle
    // counts it. Does nothing if the node is paused.
    void request(std::size_t node, const std::string& organisation);
    // Restarts a node. It starts with the given revision, or with the newest if there is none.
    void restart(std::size_t node, std::optional<Revision> knownRevision);
    void pause(std::size_t node, util::Duration time);
    void cutLink(std::size_t from, std::size_t to) { m_cutLinks.insert({ from, to }); }
    void repairAllLinks() { m_cutLinks.clear(); }
    void setClockRate(std::size_t node, double rate) { m_nodes.at(node).clockRate = rate; }
    // Sets whether a node can get new revisions.
    void setReceivesUpdates(std::size_t node, bool receivesUpdates)
    {
        m_nodes.at(node).receivesUpdates = receivesUpdates;
    }
    // Publishes a declaration, usually with changed organisations or members, as the next revision.
    void publish(const Declaration& declaration);

    [[nodiscard]] std::size_t size() const { return m_nodes.size(); }
    // Returns the nodes of a data centre that are not paused and may now act as owner of the organisation's
    // share.
    std::vector<std::size_t> owners(int dataCentre, const std::string& organisation);
    Core& core(std::size_t node) { return *m_nodes.at(node).core; }
    [[nodiscard]] bool isActive(std::size_t node) const { return m_nodes.at(node).pausedUntil <= m_now; }
    RateOracle& oracle(const std::string& organisation) { return m_oracles.at(organisation); }
    [[nodiscard]] util::Time now() const { return m_now; }
    [[nodiscard]] std::uint64_t datagramsSent() const { return m_datagramsSent; }
    [[nodiscard]] std::uint64_t datagramBytesSent() const { return m_datagramBytesSent; }
    Declaration& declaration() { return m_declaration; }
    std::mt19937_64& random() { return m_random; }

    // Numbers of requests by decision.
    struct Counts {
        long admitted = 0;
        long refusedForRate = 0;
        long refusedUnavailable = 0;
    };
    Counts& counts(const std::string& organisation) { return m_counts[organisation]; }

private:
    struct SimulatedNode {
        InstanceName name;
        int dataCentre = 0;
        Endpoint address;
        std::uint64_t incarnation = 0;
        double clockRate = 1;
        bool receivesUpdates = true;
        SharedManualClock clock;
        std::unique_ptr<Core> core;
        std::unique_ptr<TokenCache> tokenCache;
        util::Time pausedUntil {};
        std::map<std::uint64_t, std::string> waiting;
        std::optional<std::pair<util::Time, Revision>> fetching;
    };
    struct Message {
        std::size_t from = 0;
        std::size_t to = 0;
        ControlEnvelope envelope;
    };

    double randomUnit() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    bool occursInStep(double perSecond);
    void startNode(SimulatedNode& node, Revision revision);
    void injectFaults();
    void changeMembers();
    void send(std::size_t from, const ControlDatagram& datagram);
    void deliverMessages();
    void runNode(std::size_t index);
    void drainTokenCache(std::size_t index);
    util::Duration delay();
    bool receivesUpdateNow(const SimulatedNode& node)
    {
        return node.receivesUpdates && randomUnit() >= m_options.faults.updateFailures;
    }

    SimulatedFleetOptions m_options;
    std::mt19937_64 m_random;
    util::Time m_now { std::chrono::hours(1) };
    Declaration m_declaration;
    std::vector<ConfigurationPointer> m_published;
    std::vector<SimulatedNode> m_nodes;
    std::map<Endpoint, std::size_t> m_nodesByAddress;
    std::multimap<util::Time, Message> m_messages;
    std::set<std::pair<std::size_t, std::size_t>> m_cutLinks;
    std::map<std::string, RateOracle> m_oracles;
    std::map<std::string, Counts> m_counts;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_lastWaiter = 0;
    std::uint64_t m_datagramsSent = 0;
    std::uint64_t m_datagramBytesSent = 0;
};

} // namespace tarragonhaven::testing
