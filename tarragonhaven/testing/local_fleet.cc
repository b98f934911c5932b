#include "tarragonhaven/testing/local_fleet.h"

#include "tarragonhaven/declaration_write.h"
#include "tarragonhaven/key_filter.h"
#include "tarragonhaven/testing/http_caller.h"
#include "util/sha256.h"
#include "util/text.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <set>
#include <thread>

namespace tarragonhaven::testing {

namespace {

    using tcp = boost::asio::ip::tcp;

    constexpr const char* loopback = "127.0.0.1";
    constexpr auto conditionTimeout = std::chrono::seconds(10);

    Endpoint freeEndpoint() { return { loopback, freePort() }; }

    Route makeRoute(const std::string& name, const std::string& method, const std::string& pattern)
    {
        Route route;
        route.name = { name };
        route.method = method;
        route.pattern = pattern;
        route.service = { "status" };
        route.deadline = std::chrono::seconds(5);
        return route;
    }

    std::vector<Route> testRoutes()
    {
        auto status = makeRoute("status", "GET", "/status/**");
        status.idempotent = true;
        auto head = makeRoute("status-head", "HEAD", "/status/**");
        head.idempotent = true;
        auto open = makeRoute("open", "GET", "/open/**");
        open.idempotent = true;
        open.openToAll = true;
        auto note = makeRoute("note", "POST", "/notes");
        auto put = makeRoute("put", "PUT", "/status/**");
        put.idempotent = true;
        auto enroll = makeRoute("enroll", "POST", "/enrollments");
        enroll.idempotencyKeyRule = IdempotencyKeyRule::Required;
        return { status, head, open, note, put, enroll };
    }

    Organisation testOrganisation(const std::string& name, const FleetOptions& options)
    {
        return { { name }, options.ratePerSecond, options.burst, { { util::sha256Hex(testKey(name)), 0 } } };
    }

} // namespace

std::uint16_t freePort()
{
    static std::set<std::uint16_t> usedPorts;
    while (true) {
        boost::asio::io_context io;
        tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::make_address(loopback), 0));
        const auto port = acceptor.local_endpoint().port();
        if (usedPorts.insert(port).second)
            return port;
    }
}

std::string testKey(const std::string& organisation)
{
    return absl::StrCat(util::toAbsl(keyPrefix), util::sha256Hex(organisation).substr(0, keyDigits));
}

Declaration testDeclaration(const FleetOptions& options)
{
    Declaration declaration;
    auto& index = declaration.index;
    index.fleet = "test";
    Service service;
    service.name = { "status" };
    for (int d = 1; d <= options.dataCentres; ++d) {
        const DataCentreName dataCentre { absl::StrCat("dc", d) };
        index.dataCentres.push_back(dataCentre);
        OwnershipGroup group { dataCentre.text, dataCentre, {}, {} };
        for (int i = 1; i <= options.instancesPerDataCentre; ++i) {
            const InstanceName name { absl::StrCat("i", d, i) };
            index.instances.push_back({ name, dataCentre, freeEndpoint(), freeEndpoint() });
            group.members.push_back(name);
            service.targets.push_back({ { absl::StrCat("t", d, i) }, name, freeEndpoint(), options.slots });
        }
        index.groups.push_back(group);
    }
    index.services.push_back(service);
    index.routes = testRoutes();
    declaration.organisations
        = { testOrganisation("harbour", options), testOrganisation("orchard", options) };
    return declaration;
}

LocalFleet::LocalFleet(const FleetOptions& options)
    : LocalFleet(testDeclaration(options))
{
}

LocalFleet::LocalFleet(Declaration declaration)
    : m_declaration(std::move(declaration))
    , m_platformAddress(freeEndpoint())
    , m_platform(std::make_unique<FakePlatform>(m_platformAddress))
{
    publish();
    for (const auto& service : m_declaration.index.services) {
        for (const auto& target : service.targets)
            m_targets[target.name.text] = std::make_unique<FakeTarget>(target.name.text, target.address);
    }
    for (const auto& instance : m_declaration.index.instances)
        m_operatorAddresses[instance.name.text] = freeEndpoint();
}

Revision LocalFleet::publish() { return m_platform->publish(publishedValues(m_declaration)); }

NodeSettings LocalFleet::settingsFor(const Instance& instance)
{
    NodeSettings settings;
    settings.fleet = m_declaration.index.fleet;
    settings.instance = instance.name;
    settings.dataCentre = instance.dataCentre;
    settings.callerAddress = instance.callerAddress;
    settings.peerAddress = instance.peerAddress;
    settings.operatorAddress = m_operatorAddresses.at(instance.name.text);
    settings.platformAddress = m_platformAddress;
    for (const auto& other : m_declaration.index.instances) {
        if (other.name != instance.name)
            settings.seedPeers.push_back(other.peerAddress);
    }
    settings.logLevel = LogLevel::Error;
    settings.drainTimeout = std::chrono::seconds(10);
    settings.connections.callers = 1000;
    return settings;
}

bool LocalFleet::startNode(const std::string& instance)
{
    const auto& instances = m_declaration.index.instances;
    const auto found = std::find_if(instances.begin(), instances.end(),
        [&instance](const Instance& item) { return item.name.text == instance; });
    if (found == instances.end())
        return false;
    return launch(*found) && awaitReady(instance);
}

bool LocalFleet::launch(const Instance& instance)
{
    auto node = std::make_unique<Node>(settingsFor(instance));
    if (!node->start().empty())
        return false;
    m_nodes[instance.name.text] = std::move(node);
    return true;
}

bool LocalFleet::awaitReady(const std::string& instance)
{
    return eventually([this, &instance] {
        HttpCaller caller(operatorAddress(instance));
        const auto response = caller.send({ "GET", "/ready", {}, "" });
        return response && response->status == 200;
    });
}

void LocalFleet::startAll()
{
    for (const auto& instance : m_declaration.index.instances)
        launch(instance);
    for (const auto& instance : instances())
        awaitReady(instance);
    awaitOwners();
}

// Waits until the owner of each organisation admits requests. Owners do so only after the members of their
// group have held the same configuration for some time.
void LocalFleet::awaitOwners()
{
    for (const auto& organisation : m_declaration.organisations) {
        eventually([&] {
            HttpCaller caller(callerAddress(instances().front()));
            const auto response = caller.send(
                { "GET", "/status/owners", { { "X-Api-Key", testKey(organisation.name.text) } }, "" });
            return response && response->status == 200;
        });
    }
}

void LocalFleet::kill(const std::string& instance) { m_nodes.erase(instance); }

Endpoint LocalFleet::callerAddress(const std::string& instance) const
{
    for (const auto& item : m_declaration.index.instances) {
        if (item.name.text == instance)
            return item.callerAddress;
    }
    return {};
}

Endpoint LocalFleet::operatorAddress(const std::string& instance) const
{
    return m_operatorAddresses.at(instance);
}

std::vector<std::string> LocalFleet::instances() const
{
    std::vector<std::string> names;
    for (const auto& instance : m_declaration.index.instances)
        names.push_back(instance.name.text);
    return names;
}

bool eventually(const std::function<bool()>& condition)
{
    const auto deadline = std::chrono::steady_clock::now() + conditionTimeout;
    while (std::chrono::steady_clock::now() < deadline) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return condition();
}

} // namespace tarragonhaven::testing
