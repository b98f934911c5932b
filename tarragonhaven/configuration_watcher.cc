// One revision is fetched at a time. Its index is read from the platform or from a peer. The names of shards
// end with their SHA-256 digests, so a shard with the same name has the same content wherever it is stored: a
// shard of the revision in force is reused, and the others are fetched from the peer that served the index,
// or from the platform if the platform served it. When all shards are present, the revision is assembled and
// offered to the holder.

#include "tarragonhaven/configuration_watcher.h"

#include "tarragonhaven/declaration_parse.h"
#include "tarragonhaven/declaration_write.h"
#include "tarragonhaven/rendezvous.h"
#include "util/sha256.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

namespace tarragonhaven {

namespace {

    // The time limit of a read from the platform.
    constexpr util::Duration readTimeout = std::chrono::seconds(3);
    // How long the platform may hold a watch request open while there is no newer revision.
    constexpr util::Duration maximumWatchWait = std::chrono::seconds(3);
    // The time limit of a watch request, which includes maximumWatchWait.
    constexpr util::Duration watchTimeout = std::chrono::seconds(6);
    // The delay before a failed read is retried.
    constexpr util::Duration minimumRetryDelay = std::chrono::milliseconds(500);
    constexpr util::Duration maximumRetryDelay = std::chrono::milliseconds(2000);
    // The interval at which nodes that do not watch the platform poll it.
    constexpr util::Duration minimumPollDelay = std::chrono::seconds(2);
    constexpr util::Duration maximumPollDelay = std::chrono::seconds(6);
    // The interval at which nodes that watch the platform read its list of instances.
    constexpr util::Duration minimumInstancesDelay = std::chrono::milliseconds(800);
    constexpr util::Duration maximumInstancesDelay = std::chrono::milliseconds(1200);
    constexpr util::Duration peerTimeout = std::chrono::seconds(3);
    constexpr std::size_t watchersPerDataCentre = 2;
    constexpr std::size_t ringCapacity = 256;
    constexpr int okStatus = 200;
    constexpr std::size_t digestLength = 64;

    bool matchesDigest(const std::string& name, const std::string& text)
    {
        return name.size() > digestLength && name.substr(name.size() - digestLength) == util::sha256Hex(text);
    }

} // namespace

ConfigurationWatcher::ConfigurationWatcher(const NodeSettings& settings, HelloFrame hello, LogChannel& log)
    : m_settings(settings)
    , m_log(log)
    , m_peers(m_io, std::move(hello))
    , m_trafficEvents(ringCapacity)
    , m_controlEvents(ringCapacity)
    , m_peerRevisions(ringCapacity)
    , m_readTimer(m_io)
    , m_watchTimer(m_io)
    , m_instancesTimer(m_io)
    , m_random(std::random_device()())
{
    m_peerRevisions.setWakeHandler([this] {
        boost::asio::post(m_io, [this] {
            m_peerRevisions.drain([this](const PeerRevision& peerRevision) { onPeerRevision(peerRevision); });
        });
    });
}

ConfigurationWatcher::~ConfigurationWatcher() { stop(); }

void ConfigurationWatcher::start()
{
    boost::asio::post(m_io, [this] {
        readIndex();
        watch();
        pollInstances();
    });
    m_thread = std::thread([this] {
        const auto work = boost::asio::make_work_guard(m_io);
        m_io.run();
    });
}

void ConfigurationWatcher::stop()
{
    m_io.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void ConfigurationWatcher::scheduleAfter(boost::asio::steady_timer& timer, util::Duration minimumDelay,
    util::Duration maximumDelay, void (ConfigurationWatcher::*call)())
{
    const auto delay
        = std::uniform_int_distribution<std::int64_t>(minimumDelay.count(), maximumDelay.count())(m_random);
    timer.expires_after(std::chrono::nanoseconds(delay));
    timer.async_wait([this, call](boost::system::error_code error) {
        if (!error)
            (this->*call)();
    });
}

void ConfigurationWatcher::publish(const ConfigurationEvent& event)
{
    m_trafficEvents.push(event);
    m_controlEvents.push(event);
}

void ConfigurationWatcher::readIndex()
{
    httpGet(m_io, m_settings.platformAddress, absl::StrCat("/v1/values/", indexValueName), { readTimeout },
        [this](const GetResult& response) {
            if (!response || response->status != okStatus)
                return scheduleAfter(
                    m_readTimer, minimumRetryDelay, maximumRetryDelay, &ConfigurationWatcher::readIndex);
            onIndexRead(response, std::nullopt);
        });
}

void ConfigurationWatcher::onIndexRead(const GetResult& response, const std::optional<Instance>& sourcePeer)
{
    if (!response || response->status != okStatus)
        return;
    if (!sourcePeer && response->revision == m_holder.revision())
        publishConfirmation();
    if (!m_holder.shouldFetch(response->revision))
        return;
    if (m_assembly && m_assembly->revision >= response->revision)
        return;
    const auto index = parseFleetIndex(response->body);
    if (!index)
        return refuseRevision(response->revision, index.error());
    m_assembly.emplace();
    m_assembly->revision = response->revision;
    m_assembly->indexText = std::make_shared<const std::string>(response->body);
    m_assembly->sourcePeer = sourcePeer;
    const auto& current = m_holder.current();
    for (const auto& name : index->organisationShards) {
        const auto existing = current ? current->shards().find(name) : decltype(current->shards().end()) {};
        if (current && existing != current->shards().end())
            m_assembly->shards.emplace(name, existing->second);
        else
            m_assembly->missing.push_back(name);
    }
    fetchNextShard();
}

void ConfigurationWatcher::refuseRevision(Revision revision, const util::Faults& faults)
{
    m_holder.recordRefused(revision);
    m_assembly.reset();
    const auto& first = faults.front();
    m_log.write(LogLevel::Error, "configuration",
        { { "event", "refused" }, { "revision", revision }, { "path", first.path },
            { "reason", first.reason }, { "faults", faults.size() }, { "inForce", m_holder.revision() } });
}

void ConfigurationWatcher::fetchNextShard()
{
    if (m_assembly->missing.empty())
        return assemble();
    const auto name = m_assembly->missing.back();
    const auto revision = m_assembly->revision;
    const auto onResponse = [this, name, revision](const GetResult& response) {
        if (m_assembly && m_assembly->revision == revision)
            onShardRead(name, response);
    };
    if (m_assembly->sourcePeer)
        return fetchFromPeer(*m_assembly->sourcePeer, name, onResponse);
    httpGet(m_io, m_settings.platformAddress, absl::StrCat("/v1/values/", name), { readTimeout }, onResponse);
}

void ConfigurationWatcher::onShardRead(const std::string& name, const GetResult& response)
{
    const bool intact = response && response->status == okStatus && matchesDigest(name, response->body);
    if (!intact) {
        // Starts again with the index from the platform, after a delay: the platform may have a shard that a
        // peer lacks, and a failed read may succeed the next time.
        m_log.write(LogLevel::Warning, "configuration",
            { { "event", "shard-unavailable" }, { "revision", m_assembly->revision }, { "shard", name } });
        m_assembly.reset();
        return scheduleAfter(
            m_readTimer, minimumRetryDelay, maximumRetryDelay, &ConfigurationWatcher::readIndex);
    }
    auto shard = Configuration::parseShard(std::make_shared<const std::string>(response->body));
    if (!shard)
        return refuseRevision(m_assembly->revision, shard.error());
    m_assembly->shards.emplace(name, std::move(*shard));
    m_assembly->missing.pop_back();
    fetchNextShard();
}

void ConfigurationWatcher::assemble()
{
    const auto revision = m_assembly->revision;
    const bool fromPeer = m_assembly->sourcePeer.has_value();
    auto configuration
        = Configuration::assemble(revision, m_assembly->indexText, std::move(m_assembly->shards));
    if (!configuration)
        return refuseRevision(revision, configuration.error());
    m_assembly.reset();
    if (m_holder.offer(*configuration) != OfferResult::Accepted)
        return;
    m_log.write(LogLevel::Info, "configuration",
        { { "event", "accepted" }, { "revision", revision }, { "from", fromPeer ? "peer" : "platform" },
            { "organisations", (*configuration)->organisationCount() } });
    publish(ConfigurationAccepted { *configuration });
    if (!fromPeer)
        publishConfirmation();
}

void ConfigurationWatcher::publishConfirmation() { publish(RevisionConfirmed { util::BootClock::now() }); }

bool ConfigurationWatcher::isPlatformWatcher() const
{
    const auto& current = m_holder.current();
    if (!current)
        return true;
    std::vector<std::string> candidates;
    for (const auto& instance : current->index().instances) {
        if (instance.dataCentre == m_settings.dataCentre && !m_leaving.contains(instance.name))
            candidates.push_back(instance.name.text);
    }
    const auto order = rendezvousOrder("configuration-readers", std::move(candidates));
    const auto last
        = order.begin() + static_cast<std::ptrdiff_t>(std::min(order.size(), watchersPerDataCentre));
    return std::find(order.begin(), last, m_settings.instance.text) != last;
}

void ConfigurationWatcher::watch()
{
    const bool platformWatcher = isPlatformWatcher();
    const auto wait = platformWatcher
        ? std::chrono::duration_cast<std::chrono::milliseconds>(maximumWatchWait).count()
        : 0;
    const auto requestedAfter = m_holder.revision();
    httpGet(m_io, m_settings.platformAddress,
        absl::StrCat("/v1/watch?after=", requestedAfter, "&waitMs=", wait), { watchTimeout },
        [this, platformWatcher, requestedAfter](const GetResult& response) {
            const bool answered = response && response->status == okStatus;
            if (answered && m_holder.shouldFetch(response->revision))
                readIndex();
            if (answered && response->revision == requestedAfter && requestedAfter == m_holder.revision())
                publishConfirmation();
            if (answered && platformWatcher)
                return scheduleAfter(
                    m_watchTimer, {}, std::chrono::milliseconds(20), &ConfigurationWatcher::watch);
            scheduleAfter(m_watchTimer, answered ? minimumPollDelay : minimumRetryDelay,
                answered ? maximumPollDelay : maximumRetryDelay, &ConfigurationWatcher::watch);
        });
}

void ConfigurationWatcher::pollInstances()
{
    httpGet(m_io, m_settings.platformAddress, "/v1/instances", { readTimeout },
        [this](const GetResult& response) {
            if (response && response->status == okStatus)
                onInstancesRead(response->body);
            const bool platformWatcher = isPlatformWatcher();
            scheduleAfter(m_instancesTimer, platformWatcher ? minimumInstancesDelay : minimumPollDelay,
                platformWatcher ? maximumInstancesDelay : maximumPollDelay,
                &ConfigurationWatcher::pollInstances);
        });
}

void ConfigurationWatcher::onInstancesRead(const std::string& body)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("instances") || !document["instances"].is_array())
        return;
    std::set<InstanceName> leaving;
    for (const auto& item : document["instances"]) {
        const bool valid = item.is_object() && item.contains("name") && item["name"].is_string();
        if (valid && item.value("state", "live") == std::string("leaving"))
            leaving.insert({ item["name"].get<std::string>() });
    }
    if (leaving == m_leaving)
        return;
    m_leaving = leaving;
    publish(LeavingInstancesChanged { leaving });
}

void ConfigurationWatcher::fetchFromPeer(const Instance& peer, const std::string& name, ValueHandler handler)
{
    m_peers.acquire(
        peer, [this, peer, name, handler = std::move(handler)](Outcome<std::shared_ptr<PeerLink>> acquired) {
            if (!acquired)
                return handler(tl::unexpected(GetFailure::Unreachable));
            const auto link = *acquired;
            link->write(ValueRequestFrame { name }, peerTimeout, [this, link, peer, handler](bool written) {
                if (!written)
                    return handler(tl::unexpected(GetFailure::Broken));
                link->read(peerTimeout, [this, link, peer, handler](std::optional<PeerFrame> frame) {
                    const auto* value = frame ? std::get_if<ValueFrame>(&*frame) : nullptr;
                    if (!value || !value->found)
                        return handler(tl::unexpected(GetFailure::Broken));
                    m_peers.release(peer.name, link);
                    handler(PlatformResponse { okStatus, value->revision, value->content });
                });
            });
        });
}

void ConfigurationWatcher::onPeerRevision(const PeerRevision& peerRevision)
{
    if (!m_holder.shouldFetch(peerRevision.revision)
        || (m_assembly && m_assembly->revision >= peerRevision.revision))
        return;
    const Instance peer { peerRevision.peer, {}, {}, peerRevision.peerAddress };
    fetchFromPeer(
        peer, indexValueName, [this, peer](const GetResult& response) { onIndexRead(response, peer); });
}

} // namespace tarragonhaven
