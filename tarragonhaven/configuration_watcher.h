#pragma once

#include "tarragonhaven/configuration_event.h"
#include "tarragonhaven/configuration_holder.h"
#include "tarragonhaven/http_get.h"
#include "tarragonhaven/log_channel.h"
#include "tarragonhaven/node_settings.h"
#include "tarragonhaven/peer_pool.h"
#include "util/bounded_ring.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>

namespace tarragonhaven {

// A revision whose parts are being gathered.
struct ConfigurationAssembly {
    Revision revision = 0;
    Configuration::Text indexText;
    std::map<std::string, Configuration::Shard> shards;
    std::vector<std::string> missing;
    // The peer that had the index; none when the platform had it.
    std::optional<Instance> sourcePeer;
};

// The thread that learns the configuration: from the platform's read-and-watch service, and from peers that
// hold a newer revision. It accepts a revision whole or not at all and tells the other threads over rings.
//
// Two nodes of each data centre watch the platform; the others learn from peers and ask the platform at a
// slow random pace, so that the platform's budget of reads does not grow with the fleet.
class ConfigurationWatcher {
public:
    using EventRing = util::BoundedRing<ConfigurationEvent>;
    using PeerRing = util::BoundedRing<PeerRevision>;

    ConfigurationWatcher(const NodeSettings& settings, HelloFrame hello, LogChannel& log);
    ~ConfigurationWatcher();
    ConfigurationWatcher(const ConfigurationWatcher&) = delete;
    ConfigurationWatcher& operator=(const ConfigurationWatcher&) = delete;

    [[nodiscard]] EventRing& trafficEvents() { return m_trafficEvents; }
    [[nodiscard]] EventRing& controlEvents() { return m_controlEvents; }
    [[nodiscard]] PeerRing& peerRevisions() { return m_peerRevisions; }
    void start();
    void stop();

private:
    using ValueHandler = std::function<void(std::optional<PlatformReply>)>;

    void readIndex();
    void onIndexRead(const std::optional<PlatformReply>& reply, const std::optional<Instance>& sourcePeer);
    void recordFaults(Revision revision, const util::Faults& faults);
    void fetchNextShard();
    void onShardRead(const std::string& name, const std::optional<PlatformReply>& reply);
    void assemble();
    void watch();
    void pollInstances();
    void onInstancesRead(const std::string& body);
    void fetchFromPeer(const Instance& peer, const std::string& name, ValueHandler handler);
    void onPeerRevision(const PeerRevision& peerRevision);
    [[nodiscard]] bool isPlatformWatcher() const;
    void publishConfirmation();
    void publish(const ConfigurationEvent& event);
    void scheduleAfter(boost::asio::steady_timer& timer, util::Duration minimumDelay,
        util::Duration maximumDelay, void (ConfigurationWatcher::*call)());

    const NodeSettings& m_settings;
    LogChannel& m_log;
    boost::asio::io_context m_io;
    PeerPool m_peers;
    ConfigurationHolder m_holder;
    EventRing m_trafficEvents;
    EventRing m_controlEvents;
    PeerRing m_peerRevisions;
    std::optional<ConfigurationAssembly> m_assembly;
    boost::asio::steady_timer m_readTimer;
    boost::asio::steady_timer m_watchTimer;
    boost::asio::steady_timer m_instancesTimer;
    std::mt19937_64 m_random;
    std::set<InstanceName> m_leaving;
    std::thread m_thread;
};

} // namespace tarragonhaven
