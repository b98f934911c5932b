#include "tarragonhaven/testing/simulated_fleet.h"

#include "tarragonhaven/declaration_check.h"
#include "tarragonhaven/declaration_write.h"
#include "util/check.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace tarragonhaven::testing {

namespace {

    constexpr util::Duration shortestDelay = std::chrono::microseconds(200);
    constexpr util::Duration typicalDelay = std::chrono::microseconds(3000);
    constexpr util::Duration fetchDelay = std::chrono::milliseconds(40);
    constexpr util::Duration platformPoll = std::chrono::milliseconds(700);

    util::Duration scaled(util::Duration duration, double factor)
    {
        return util::fromSeconds(util::toSeconds(duration) * factor);
    }

    Declaration makeDeclaration(const SimulatedFleetOptions& options)
    {
        Declaration declaration;
        auto& index = declaration.index;
        index.fleet = "test";
        std::uint16_t port = 1;
        Service service;
        service.name = { "s" };
        for (int d = 0; d < options.dataCentres; ++d) {
            const DataCentreName dataCentre { absl::StrCat("dc", d) };
            index.dataCentres.push_back(dataCentre);
            OwnershipGroup group { dataCentre.text, dataCentre, {}, {} };
            for (int i = 0; i < options.instancesPerDataCentre; ++i) {
                const InstanceName name { absl::StrCat("i", d, "-", i) };
                const Endpoint caller { "127.0.0.1", port++ };
                const Endpoint peer { "127.0.0.1", port++ };
                index.instances.push_back({ name, dataCentre, caller, peer });
                group.members.push_back(name);
                service.targets.push_back({ { name.text }, name, caller, 1 });
            }
            index.groups.push_back(group);
        }
        index.services.push_back(service);
        declaration.organisations = { { { "greedy" }, 50, 20, {} }, { { "modest" }, 40, 20, {} } };
        return declaration;
    }

    ConfigurationPointer toConfiguration(const Declaration& declaration, Revision revision)
    {
        const auto values = publishedValues(declaration);
        std::map<std::string, Configuration::Shard> shards;
        for (const auto& [name, text] : values) {
            if (name != indexValueName)
                shards.emplace(name, *Configuration::parseShard(std::make_shared<const std::string>(text)));
        }
        const auto indexText = std::make_shared<const std::string>(values.at(indexValueName));
        auto configuration = Configuration::assemble(revision, indexText, std::move(shards));
        TARRAGONHAVEN_CHECK(configuration.has_value(), "the declaration of the simulated fleet is valid");
        return *configuration;
    }

} // namespace

SimulatedFleet::SimulatedFleet(const SimulatedFleetOptions& options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
    , m_declaration(makeDeclaration(options))
{
    for (const auto& organisation : m_declaration.organisations)
        m_oracles.emplace(organisation.name.text, RateOracle(organisation.ratePerSecond, organisation.burst));
    publish(m_declaration);
    for (const auto& instance : m_declaration.index.instances) {
        SimulatedNode node;
        node.name = instance.name;
        node.dataCentre = instance.dataCentre.text.back() - '0';
        node.address = instance.peerAddress;
        node.clockRate = 1 + (randomUnit() * 2 - 1) * options.faults.clockDrift;
        m_nodesByAddress.emplace(node.address, m_nodes.size());
        m_nodes.push_back(std::move(node));
    }
    for (auto& node : m_nodes)
        startNode(node, 1);
}

void SimulatedFleet::publish(const Declaration& declaration)
{
    m_declaration = declaration;
    m_published.push_back(toConfiguration(declaration, m_published.size() + 1));
}

void SimulatedFleet::startNode(SimulatedNode& node, Revision revision)
{
    const auto& dataCentre = m_declaration.index.dataCentres.at(static_cast<std::size_t>(node.dataCentre));
    node.incarnation = ++m_lastIncarnation;
    const NodeIdentity identity { "test", node.name, dataCentre, node.incarnation,
        absl::StrCat("secret-", node.incarnation), {} };
    node.core = std::make_unique<Core>(identity, node.clock, std::mt19937_64(m_random()), m_options.control);
    node.core->apply(m_published.at(revision - 1));
    TokenCacheOptions cacheOptions;
    for (int i = 0; i < m_options.dataCentres; ++i)
        cacheOptions.dataCentres.push_back((node.dataCentre + i) % m_options.dataCentres);
    cacheOptions.lifetimes = m_options.control.lifetimes;
    node.tokenCache = std::make_unique<TokenCache>(cacheOptions);
    node.waiting.clear();
    node.fetching.reset();
}

bool SimulatedFleet::occursInStep(double perSecond)
{
    return perSecond > 0 && randomUnit() < perSecond * util::toSeconds(m_options.step);
}

void SimulatedFleet::restart(std::size_t node, std::optional<Revision> knownRevision)
{
    m_nodes.at(node).pausedUntil = {};
    startNode(m_nodes.at(node), knownRevision.value_or(m_published.size()));
}

void SimulatedFleet::pause(std::size_t node, util::Duration time)
{
    m_nodes.at(node).pausedUntil = m_now + time;
}

void SimulatedFleet::injectFaults()
{
    const auto& faults = m_options.faults;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (occursInStep(faults.restarts))
            restart(i, 1 + m_random() % m_published.size());
        if (occursInStep(faults.pauses))
            pause(i, scaled(faults.longestPause, randomUnit()));
        if (occursInStep(faults.linkCuts))
            cutLink(i, m_random() % m_nodes.size());
        if (!m_cutLinks.empty() && occursInStep(faults.linkRepairs))
            m_cutLinks.erase(
                std::next(m_cutLinks.begin(), static_cast<std::ptrdiff_t>(m_random() % m_cutLinks.size())));
    }
    if (occursInStep(faults.memberChanges))
        changeMembers();
}

// Publishes a declaration with one member added to or removed from one group, as checkTransition() allows.
void SimulatedFleet::changeMembers()
{
    auto next = m_declaration;
    auto& group = next.index.groups.at(m_random() % next.index.groups.size());
    auto former = group.formerMembers;
    former.insert(former.begin(), group.members);
    former.resize(std::min(former.size(), maximumFormerMemberSets));
    std::vector<InstanceName> absent;
    for (const auto& instance : next.index.instances) {
        const bool member
            = std::find(group.members.begin(), group.members.end(), instance.name) != group.members.end();
        if (instance.dataCentre == group.dataCentre && !member)
            absent.push_back(instance.name);
    }
    const bool removes = absent.empty() || (group.members.size() > 2 && randomUnit() < 0.5);
    if (removes && group.members.size() <= 2)
        return;
    if (removes)
        group.members.erase(
            group.members.begin() + static_cast<std::ptrdiff_t>(m_random() % group.members.size()));
    else
        group.members.push_back(absent.at(m_random() % absent.size()));
    group.formerMembers = former;
    TARRAGONHAVEN_CHECK(checkTransition(m_declaration.index, next.index).empty(),
        "the change of members is an allowed transition");
    publish(next);
}

util::Duration SimulatedFleet::delay()
{
    const bool late = randomUnit() < m_options.faults.lateProbability;
    return shortestDelay + scaled(late ? m_options.faults.longestLateDelay : typicalDelay, randomUnit());
}

void SimulatedFleet::send(std::size_t from, const ControlDatagram& datagram)
{
    const auto to = m_nodesByAddress.find(datagram.to);
    if (to == m_nodesByAddress.end())
        return;
    const auto& node = m_nodes.at(from);
    const Message message { from, to->second, { "test", node.name, node.incarnation, datagram.message } };
    ++m_datagramsSent;
    m_datagramBytesSent += encodeControl(message.envelope).size();
    const bool lost
        = m_cutLinks.contains({ from, to->second }) || randomUnit() < m_options.faults.lossProbability;
    if (!lost)
        m_messages.emplace(m_now + delay(), message);
    if (!lost && randomUnit() < m_options.faults.duplicateProbability)
        m_messages.emplace(m_now + delay(), message);
}

void SimulatedFleet::deliverMessages()
{
    std::vector<std::pair<util::Time, Message>> postponed;
    while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
        const auto message = std::move(m_messages.begin()->second);
        m_messages.erase(m_messages.begin());
        auto& node = m_nodes.at(message.to);
        if (node.pausedUntil > m_now) {
            postponed.emplace_back(node.pausedUntil, message);
            continue;
        }
        node.core->receive(m_nodes.at(message.from).address, message.envelope);
    }
    for (auto& [at, message] : postponed)
        m_messages.emplace(at, std::move(message));
}

void SimulatedFleet::runNode(std::size_t index)
{
    auto& node = m_nodes.at(index);
    if (occursInStep(1 / util::toSeconds(platformPoll)) && receivesUpdateNow(node)) {
        const bool stale = randomUnit() < m_options.faults.staleReads;
        const Revision read = stale ? 1 + m_random() % m_published.size() : m_published.size();
        node.core->apply(m_published.at(read - 1));
        if (!stale)
            node.core->onPlatformConfirmed(node.clock.now());
    }
    node.core->tick();
    node.tokenCache->tick(node.clock.now());
    drainTokenCache(index);
    for (const auto& peerRevision : node.core->takePeerRevisions()) {
        if (!node.fetching && receivesUpdateNow(node))
            node.fetching = { m_now + fetchDelay, peerRevision.revision };
    }
    if (node.fetching && m_now >= node.fetching->first) {
        node.core->apply(m_published.at(node.fetching->second - 1));
        node.fetching.reset();
    }
    for (const auto& datagram : node.core->takeDatagrams())
        send(index, datagram);
}

void SimulatedFleet::drainTokenCache(std::size_t index)
{
    auto& node = m_nodes.at(index);
    // Requests to shares that the node itself owns are answered at once, which may lead to further requests.
    for (bool progressed = true; progressed;) {
        progressed = false;
        for (const auto& tokenRequest : node.tokenCache->takeTokenRequests()) {
            node.core->request(FetchTokensRequest { tokenRequest.dataCentre, tokenRequest.tokenRequest });
            progressed = true;
        }
        for (const auto& item : node.tokenCache->takeTokenReturns())
            node.core->request(ReturnTokensRequest { item.dataCentre, item.tokenReturn });
        for (const auto& reply : node.core->takeReplies()) {
            if (const auto* grantReply = std::get_if<TokenGrantReply>(&reply))
                node.tokenCache->onGrant(grantReply->organisation, grantReply->grant, node.clock.now());
        }
    }
    for (const auto& decision : node.tokenCache->takeDecisions()) {
        const auto waiting = node.waiting.extract(decision.waiter);
        if (waiting.empty())
            continue;
        const auto& organisation = waiting.mapped();
        auto& counts = m_counts[organisation];
        if (decision.admitted) {
            ++counts.admitted;
            m_oracles.at(organisation).recordRun(m_now);
        } else if (decision.refusal.reason == RefusalReason::RateExceeded) {
            ++counts.refusedForRate;
        } else {
            ++counts.refusedUnavailable;
        }
    }
}

void SimulatedFleet::request(std::size_t index, const std::string& organisation)
{
    auto& node = m_nodes.at(index);
    if (node.pausedUntil > m_now)
        return;
    const auto waiter = ++m_lastWaiter;
    node.waiting.emplace(waiter, organisation);
    node.tokenCache->acquire({ organisation }, waiter, node.clock.now());
    drainTokenCache(index);
}

void SimulatedFleet::step()
{
    m_now += m_options.step;
    for (auto& node : m_nodes)
        node.clock.moveTo(node.clock.now() + scaled(m_options.step, node.clockRate));
    injectFaults();
    deliverMessages();
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i].pausedUntil <= m_now)
            runNode(i);
    }
}

void SimulatedFleet::run(util::Duration time)
{
    const auto end = m_now + time;
    while (m_now < end)
        step();
}

std::vector<std::size_t> SimulatedFleet::owners(int dataCentre, const std::string& organisation)
{
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        const bool active = m_nodes[i].dataCentre == dataCentre && m_nodes[i].pausedUntil <= m_now;
        if (active && m_nodes[i].core->owns({ organisation }))
            result.push_back(i);
    }
    return result;
}

} // namespace tarragonhaven::testing
