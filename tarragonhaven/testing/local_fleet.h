#pragma once

#include "tarragonhaven/declaration.h"
#include "tarragonhaven/node.h"
#include "tarragonhaven/testing/fake_platform.h"
#include "tarragonhaven/testing/fake_target.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tarragonhaven::testing {

// A key and a declaration for tests: two data centres, an instance for each target, organisations "harbour"
// and "orchard", and a service "status" with routes of every kind.
struct FleetOptions {
    int dataCentres = 2;
    int instancesPerDataCentre = 2;
    int slots = 4;
    double ratePerSecond = 10000;
    int burst = 10000;
};

// The key of an organisation in test declarations.
std::string testKey(const std::string& organisation);
// A port that was free a moment ago.
std::uint16_t freePort();
Declaration testDeclaration(const FleetOptions& options);

// Nodes, targets and a platform in one process, over loopback sockets.
class LocalFleet {
public:
    explicit LocalFleet(const FleetOptions& options);
    // Takes a declaration as it is.
    explicit LocalFleet(Declaration declaration);

    // Starts the node of an instance. Returns when it is ready, or false after ten seconds.
    bool startNode(const std::string& instance);
    // Starts every node and waits until requests can be admitted.
    void startAll();
    // Ends a node without a planned stop.
    void kill(const std::string& instance);
    Node& node(const std::string& instance) { return *m_nodes.at(instance); }
    FakeTarget& target(const std::string& name) { return *m_targets.at(name); }
    FakePlatform& platform() { return *m_platform; }
    Declaration& declaration() { return m_declaration; }
    Revision publish();

    [[nodiscard]] Endpoint callerAddress(const std::string& instance) const;
    [[nodiscard]] Endpoint operatorAddress(const std::string& instance) const;
    [[nodiscard]] std::vector<std::string> instances() const;

private:
    bool launch(const Instance& instance);
    bool awaitReady(const std::string& instance);
    void awaitOwners();
    NodeSettings settingsFor(const Instance& instance);

    Declaration m_declaration;
    Endpoint m_platformAddress;
    std::unique_ptr<FakePlatform> m_platform;
    std::map<std::string, std::unique_ptr<FakeTarget>> m_targets;
    std::map<std::string, Endpoint> m_operatorAddresses;
    std::map<std::string, std::unique_ptr<Node>> m_nodes;
};

// Waits for a condition for at most ten seconds. Returns whether it came true.
bool eventually(const std::function<bool()>& condition);

} // namespace tarragonhaven::testing
