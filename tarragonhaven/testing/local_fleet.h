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

// The size and limits of a declaration for tests. See testDeclaration().
struct FleetOptions {
    int dataCentres = 2;
    int instancesPerDataCentre = 2;
    // The number of slots of each target.
    int slots = 4;
    // The rate limit and the burst of each organisation.
    double ratePerSecond = 10000;
    int burst = 10000;
};

// Returns the API key of an organisation in test declarations.
std::string testKey(const std::string& organisation);
// Returns a loopback port that no socket used at the time of the call, and that this process has not returned
// before. Another process may take the port before the caller binds it.
std::uint16_t freePort();
// Returns a declaration with a target beside each instance ("t12" beside "i12", in data centre "dc1"), an
// ownership group for each data centre, the organisations "harbour" and "orchard", and a service "status"
// with routes of every kind.
Declaration testDeclaration(const FleetOptions& options);

// A fleet in one process: nodes, fake targets and a fake platform, connected over loopback sockets. The
// constructor starts the targets and the platform; nodes are started separately.
class LocalFleet {
public:
    explicit LocalFleet(const FleetOptions& options);
    // Uses the given declaration unchanged.
    explicit LocalFleet(Declaration declaration);

    // Starts the node of an instance and waits until it is ready. Returns false if the instance is unknown,
    // the node cannot start, or it is not ready within ten seconds.
    bool startNode(const std::string& instance);
    // Starts every node and waits, up to ten seconds for each condition, until requests of every organisation
    // are admitted.
    void startAll();
    // Destroys a node without a planned stop.
    void kill(const std::string& instance);
    Node& node(const std::string& instance) { return *m_nodes.at(instance); }
    FakeTarget& target(const std::string& name) { return *m_targets.at(name); }
    FakePlatform& platform() { return *m_platform; }
    Declaration& declaration() { return m_declaration; }
    // Publishes the current declaration. Returns its revision.
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

// Checks a condition every 10 ms until it is true, for at most ten seconds. Returns whether it became true.
bool eventually(const std::function<bool()>& condition);

} // namespace tarragonhaven::testing
