// One revision is gathered at a time. Its index comes from the platform or a peer; its shards are named by
// their digests, so each is fetched from wherever it is nearest: kept from the revision in force, else the
// peer that had the index, else the platform. When all are there the revision is assembled and offered to the
// holder.

#include "tarragonhaven/configuration_duty.h"

#include "tarragonhaven/declaration_parse.h"
#include "tarragonhaven/declaration_write.h"
#include "tarragonhaven/rendezvous.h"
#include "util/sha256.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

namespace tarragonhaven {

namespace {

    constexpr util::Duration readTimeout = std::chrono::seconds(3);
    constexpr util::Duration watchWait = std::chrono::seconds(3);
    constexpr util::Duration watchTimeout = std::chrono::seconds(6);
    constexpr util::Duration retryLow = std::chrono::milliseconds(500);
    constexpr util::Duration retryHigh = std::chrono::milliseconds(2000);
    constexpr util::Duration checkLow = std::chrono::seconds(2);
    constexpr util::Duration checkHigh = std::chrono::seconds(6);
    constexpr util::Duration instancesLow = std::chrono::milliseconds(800);
    constexpr util::Duration instancesHigh = std::chrono::milliseconds(1200);
    constexpr util::Duration peerTimeout = std::chrono::seconds(3);
    constexpr std::size_t readersPerDataCentre = 2;
    constexpr std::size_t ringEvents = 256;
    constexpr int okStatus = 200;
    constexpr std::size_t digestDigits = 64;

    bool matchesDigest(const std::string& name, const std::string& text)
    {
        return name.size() > digestDigits && name.substr(name.size() - digestDigits) == util::sha256Hex(text);
    }

} // namespace

ConfigurationDuty::ConfigurationDuty(const NodeSettings& settings, HelloFrame hello, LogChannel& log)
    : m_settings(settings)
    , m_log(log)
    , m_peers(m_io, std::move(hello))
    , m_trafficEvents(ringEvents)
    , m_controlEvents(ringEvents)
    , m_peerRevisions(ringEvents)
    , m_readTimer(m_io)
    , m_watchTimer(m_io)
    , m_instancesTimer(m_io)
    , m_random(std::random_device()())
{
    m_peerRevisions.onPush([this] {
        boost::asio::post(m_io,
            [this] { m_peerRevisions.drain([this](const PeerRevision& news) { peerHasRevision(news); }); });
    });
}

ConfigurationDuty::~ConfigurationDuty() { stop(); }

void ConfigurationDuty::start()
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

void ConfigurationDuty::stop()
{
    m_io.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void ConfigurationDuty::after(boost::asio::steady_timer& timer, util::Duration low, util::Duration high,
    void (ConfigurationDuty::*call)())
{
    const auto delay = std::uniform_int_distribution<std::int64_t>(low.count(), high.count())(m_random);
    timer.expires_after(std::chrono::nanoseconds(delay));
    timer.async_wait([this, call](boost::system::error_code error) {
        if (!error)
            (this->*call)();
    });
}

void ConfigurationDuty::publish(const ConfigurationEvent& event)
{
    m_trafficEvents.push(event);
    m_controlEvents.push(event);
}

void ConfigurationDuty::readIndex()
{
    httpGet(m_io, m_settings.platformAddress, absl::StrCat("/v1/values/", indexValueName), { readTimeout },
        [this](const std::optional<PlatformResponse>& reply) {
            if (!reply || reply->status != okStatus)
                return after(m_readTimer, retryLow, retryHigh, &ConfigurationDuty::readIndex);
            indexRead(reply, std::nullopt);
        });
}

void ConfigurationDuty::indexRead(
    const std::optional<PlatformResponse>& reply, const std::optional<Instance>& source)
{
    if (!reply || reply->status != okStatus)
        return;
    if (!source && reply->revision == m_holder.revision())
        confirm();
    if (!m_holder.wants(reply->revision))
        return;
    if (m_assembly && m_assembly->revision >= reply->revision)
        return;
    const auto index = parseFleetIndex(reply->body);
    if (!index)
        return refuse(reply->revision, index.error());
    m_assembly.emplace();
    m_assembly->revision = reply->revision;
    m_assembly->indexText = std::make_shared<const std::string>(reply->body);
    m_assembly->source = source;
    const auto& current = m_holder.current();
    for (const auto& name : index->organisationShards) {
        const auto held = current ? current->shards().find(name) : decltype(current->shards().end()) {};
        if (current && held != current->shards().end())
            m_assembly->shards.emplace(name, held->second);
        else
            m_assembly->missing.push_back(name);
    }
    gather();
}

void ConfigurationDuty::refuse(Revision revision, const util::Faults& faults)
{
    m_holder.noteRefused(revision);
    m_assembly.reset();
    const auto& first = faults.front();
    m_log.write(LogLevel::Error, "configuration",
        { { "event", "refused" }, { "revision", revision }, { "path", first.path },
            { "reason", first.reason }, { "faults", faults.size() }, { "inForce", m_holder.revision() } });
}

void ConfigurationDuty::gather()
{
    if (m_assembly->missing.empty())
        return assemble();
    const auto name = m_assembly->missing.back();
    const auto revision = m_assembly->revision;
    const auto take = [this, name, revision](const std::optional<PlatformResponse>& reply) {
        if (m_assembly && m_assembly->revision == revision)
            shardRead(name, reply);
    };
    if (m_assembly->source)
        return fetchFromPeer(*m_assembly->source, name, take);
    httpGet(m_io, m_settings.platformAddress, absl::StrCat("/v1/values/", name), { readTimeout }, take);
}

void ConfigurationDuty::shardRead(const std::string& name, const std::optional<PlatformResponse>& reply)
{
    const bool whole = reply && reply->status == okStatus && matchesDigest(name, reply->body);
    if (!whole) {
        // Another source may have it: the platform after a peer, and either again after a while.
        m_log.write(LogLevel::Warning, "configuration",
            { { "event", "shard-unavailable" }, { "revision", m_assembly->revision }, { "shard", name } });
        m_assembly.reset();
        return after(m_readTimer, retryLow, retryHigh, &ConfigurationDuty::readIndex);
    }
    auto shard = Configuration::parseShard(std::make_shared<const std::string>(reply->body));
    if (!shard)
        return refuse(m_assembly->revision, shard.error());
    m_assembly->shards.emplace(name, std::move(*shard));
    m_assembly->missing.pop_back();
    gather();
}

void ConfigurationDuty::assemble()
{
    const auto revision = m_assembly->revision;
    const bool fromPeer = m_assembly->source.has_value();
    auto configuration
        = Configuration::assemble(revision, m_assembly->indexText, std::move(m_assembly->shards));
    if (!configuration)
        return refuse(revision, configuration.error());
    m_assembly.reset();
    if (m_holder.offer(*configuration) != Acceptance::Accepted)
        return;
    m_log.write(LogLevel::Info, "configuration",
        { { "event", "accepted" }, { "revision", revision }, { "from", fromPeer ? "peer" : "platform" },
            { "organisations", (*configuration)->organisationCount() } });
    publish(ConfigurationAccepted { *configuration });
    if (!fromPeer)
        confirm();
}

void ConfigurationDuty::confirm() { publish(PlatformConfirmed { util::BootClock::now() }); }

bool ConfigurationDuty::isReader() const
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
        = order.begin() + static_cast<std::ptrdiff_t>(std::min(order.size(), readersPerDataCentre));
    return std::find(order.begin(), last, m_settings.instance.text) != last;
}

void ConfigurationDuty::watch()
{
    const bool reader = isReader();
    const auto wait = reader ? std::chrono::duration_cast<std::chrono::milliseconds>(watchWait).count() : 0;
    const auto asked = m_holder.revision();
    httpGet(m_io, m_settings.platformAddress, absl::StrCat("/v1/watch?after=", asked, "&waitMs=", wait),
        { watchTimeout }, [this, reader, asked](const std::optional<PlatformResponse>& reply) {
            const bool answered = reply && reply->status == okStatus;
            if (answered && m_holder.wants(reply->revision))
                readIndex();
            if (answered && reply->revision == asked && asked == m_holder.revision())
                confirm();
            if (answered && reader)
                return after(m_watchTimer, {}, std::chrono::milliseconds(20), &ConfigurationDuty::watch);
            after(m_watchTimer, answered ? checkLow : retryLow, answered ? checkHigh : retryHigh,
                &ConfigurationDuty::watch);
        });
}

void ConfigurationDuty::pollInstances()
{
    httpGet(m_io, m_settings.platformAddress, "/v1/instances", { readTimeout },
        [this](const std::optional<PlatformResponse>& reply) {
            if (reply && reply->status == okStatus)
                instancesRead(reply->body);
            const bool reader = isReader();
            after(m_instancesTimer, reader ? instancesLow : checkLow, reader ? instancesHigh : checkHigh,
                &ConfigurationDuty::pollInstances);
        });
}

void ConfigurationDuty::instancesRead(const std::string& body)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("instances") || !document["instances"].is_array())
        return;
    std::set<InstanceName> leaving;
    for (const auto& item : document["instances"]) {
        const bool sound = item.is_object() && item.contains("name") && item["name"].is_string();
        if (sound && item.value("state", "live") == std::string("leaving"))
            leaving.insert({ item["name"].get<std::string>() });
    }
    if (leaving == m_leaving)
        return;
    m_leaving = leaving;
    publish(LeavingListed { leaving });
}

void ConfigurationDuty::fetchFromPeer(const Instance& peer, const std::string& name, ValueHandler handler)
{
    m_peers.take(
        peer, [this, peer, name, handler = std::move(handler)](Outcome<std::shared_ptr<PeerLink>> taken) {
            if (!taken)
                return handler(std::nullopt);
            const auto link = *taken;
            link->write(ValueRequestFrame { name }, [this, link, peer, handler](bool written) {
                if (!written)
                    return handler(std::nullopt);
                link->read(peerTimeout, [this, link, peer, handler](std::optional<PeerFrame> frame) {
                    const auto* value = frame ? std::get_if<ValueFrame>(&*frame) : nullptr;
                    if (!value || !value->found)
                        return handler(std::nullopt);
                    m_peers.give(peer.name, link);
                    handler(PlatformResponse { okStatus, value->revision, value->content });
                });
            });
        });
}

void ConfigurationDuty::peerHasRevision(const PeerRevision& news)
{
    if (!m_holder.wants(news.revision) || (m_assembly && m_assembly->revision >= news.revision))
        return;
    const Instance peer { news.peer, {}, {}, news.peerAddress };
    fetchFromPeer(peer, indexValueName,
        [this, peer](const std::optional<PlatformResponse>& reply) { indexRead(reply, peer); });
}

} // namespace tarragonhaven
