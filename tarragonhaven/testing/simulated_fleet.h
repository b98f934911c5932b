#pragma once

#include "tarragonhaven/control_core.h"
#include "tarragonhaven/declaration.h"
#include "tarragonhaven/rate_wallet.h"
#include "tarragonhaven/testing/rate_oracle.h"
#include "tarragonhaven/testing/shared_manual_clock.h"

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

// How often things go wrong, as chances for each node and second unless said otherwise.
struct SimulatedFaults {
    double restarts = 0;
    // A restart comes back with any revision that was ever published.
    double pauses = 0;
    util::Duration longestPause = std::chrono::seconds(6);
    double linkCuts = 0;
    double linkHeals = 0.2;
    double lossProbability = 0;
    double duplicateProbability = 0;
    double lateProbability = 0;
    util::Duration longestLateDelay = std::chrono::milliseconds(700);
    // Published member changes a second, over the whole fleet.
    double memberChanges = 0;
    // Reads of the platform that return an old revision.
    double staleReads = 0;
    // The share of a node's attempts to learn a new revision, from the platform or a peer, that fail.
    double updateFailures = 0;
    // Each node's clock runs up to this much faster or slower.
    double clockDrift = 0;
};

struct SimulatedFleetOptions {
    int dataCentres = 2;
    int instancesPerDataCentre = 3;
    SimulatedFaults faults;
    ControlOptions control;
    // The step of the virtual clock.
    util::Duration step = std::chrono::milliseconds(2);
};

// The control cores and wallets of a small fleet under one virtual clock, with a network that delays, loses
// and doubles messages, cuts links one way, and with nodes that restart and sleep. It is a test fixture for
// decisions, not a model of a cluster: there is no traffic but the question whether a request may run.
class SimulatedFleet {
public:
    using Core = ControlCore<SharedManualClock, std::mt19937_64>;

    SimulatedFleet(const SimulatedFleetOptions& options, std::uint64_t seed);

    // Moves on by one step.
    void step();
    void run(util::Duration time);
    // A request of the organisation arrives at a node. Counted by the oracle when it is let run.
    void request(std::size_t node, const std::string& organisation);
    void restart(std::size_t node, std::optional<Revision> knownRevision);
    void pause(std::size_t node, util::Duration time);
    void cut(std::size_t from, std::size_t to) { m_cutLinks.insert({ from, to }); }
    void healAll() { m_cutLinks.clear(); }
    void setClockRate(std::size_t node, double rate) { m_nodes.at(node).clockRate = rate; }
    // Whether a node learns of new revisions.
    void setReceivesUpdates(std::size_t node, bool receivesUpdates)
    {
        m_nodes.at(node).receivesUpdates = receivesUpdates;
    }
    // Publishes a revision with changed organisations or members.
    void publish(const Declaration& declaration);

    [[nodiscard]] std::size_t size() const { return m_nodes.size(); }
    // The nodes of a data centre that may act as owner of the organisation now.
    std::vector<std::size_t> owners(int dataCentre, const std::string& organisation);
    Core& core(std::size_t node) { return *m_nodes.at(node).core; }
    [[nodiscard]] bool awake(std::size_t node) const { return m_nodes.at(node).pausedUntil <= m_now; }
    RateOracle& oracle(const std::string& organisation) { return m_oracles.at(organisation); }
    [[nodiscard]] util::Time now() const { return m_now; }
    [[nodiscard]] std::uint64_t datagrams() const { return m_datagramsSent; }
    [[nodiscard]] std::uint64_t datagramBytes() const { return m_datagramBytesSent; }
    Declaration& declaration() { return m_declaration; }
    std::mt19937_64& random() { return m_random; }

    // Verdicts of requests, for tests that count.
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
        std::unique_ptr<RateWallet> tokenCache;
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
    void deliver();
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
