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

// A revision whose index was read and whose shards are being fetched.
struct ConfigurationAssembly {
    Revision revision = 0;
    Configuration::Text indexText;
    std::map<std::string, Configuration::Shard> shards;
    // Names of the shards that are still to be fetched.
    std::vector<std::string> missing;
    // The peer from which the index was read; none if it was read from the platform.
    std::optional<Instance> sourcePeer;
};

// The thread that keeps the configuration up to date. It reads revisions from the platform's read-and-watch
// service and from peers that hold a newer revision. It accepts a revision only as a whole and passes it to
// the traffic and control threads through ring buffers. Failed reads are retried after a random delay; a
// revision with faults is logged and not fetched again.
//
// Two nodes of each data centre watch the platform continuously. The others receive revisions from peers and
// poll the platform only every few seconds, at random intervals, so that the platform's read load does not
// grow with the size of the fleet.
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
    using ValueHandler = std::function<void(GetResult)>;

    void readIndex();
    void onIndexRead(const GetResult& response, const std::optional<Instance>& sourcePeer);
    // Logs the faults of `revision`, records it as refused and stops fetching it.
    void refuseRevision(Revision revision, const util::Faults& faults);
    // Fetches a missing shard, or assembles the revision if no shard is missing.
    void fetchNextShard();
    void onShardRead(const std::string& name, const GetResult& response);
    void assemble();
    void watch();
    void pollInstances();
    void onInstancesRead(const std::string& body);
    void fetchFromPeer(const Instance& peer, const std::string& name, ValueHandler handler);
    void onPeerRevision(const PeerRevision& peerRevision);
    // Returns whether this node is one of the two of its data centre that watch the platform. Until a
    // configuration is in force, every node watches it.
    [[nodiscard]] bool isPlatformWatcher() const;
    // Publishes that the platform has no newer revision than the one in force.
    void publishConfirmation();
    void publish(const ConfigurationEvent& event);
    // Calls `call` after a random delay between the limits.
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
