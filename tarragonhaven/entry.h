#pragma once

#include "tarragonhaven/admission.h"
#include "tarragonhaven/configuration.h"
#include "tarragonhaven/directory.h"
#include "tarragonhaven/entry_options.h"
#include "tarragonhaven/guard.h"
#include "tarragonhaven/key_filter.h"
#include "tarragonhaven/log_channel.h"
#include "tarragonhaven/peer_pool.h"
#include "tarragonhaven/request_context.h"
#include "tarragonhaven/request_id_generator.h"
#include "tarragonhaven/retry_gate.h"
#include "tarragonhaven/route_splitter.h"
#include "tarragonhaven/service_health.h"
#include "tarragonhaven/target_chooser.h"
#include "tarragonhaven/traffic_metrics.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace tarragonhaven {

// A caller's request that may go on: who calls, where it leads and what it needs.
struct AcceptedRequest {
    RequestContext context;
    RequestHead head;
    // Copied, so that a change of configuration does not pull it away.
    Route route;
    // The digest of the caller's key, empty on open routes.
    std::string keyDigest;
    std::string idempotencyKey;
};

// What this node knows and decides as the entry of callers' requests. All of it belongs to the traffic
// thread.
class Entry {
public:
    struct Dependencies {
        boost::asio::io_context& io;
        Guard& guard;
        PeerPool& peers;
        Admission& admission;
        LogChannel& log;
        TrafficMetrics& metrics;
        InstanceName self;
        DataCentreName dataCentre;
        std::uint64_t incarnation = 0;
        EntryOptions options;
        // Bounds retries over the fleet; null to bound those of this node alone.
        RetryGate* retries = nullptr;
    };

    explicit Entry(Dependencies dependencies);

    // Takes over declarations and the targets that serve them; either may be the one in force before. Null
    // stands for none yet.
    void apply(ConfigurationPointer configuration, DirectoryPointer directory);
    // Marks instances that leave, as the platform's list or they themselves tell.
    void markLeaving(const std::set<InstanceName>& instances);
    // Whether keys may be accepted: false while a withdrawal may have been missed.
    void setKeysFresh(bool fresh) { m_keysFresh = fresh; }
    void setReady(bool ready) { m_ready = ready; }
    void stop() { m_stopping = true; }
    // Moves health on and decides on ejections. Call it ten times a second.
    void tick();

    // Checks route, key and organisation of a head as the caller sent it. The key is gone from the result.
    tl::expected<AcceptedRequest, Refusal> accept(RequestHead head);
    // Whether a key that was accepted before still is.
    [[nodiscard]] bool isStillAccepted(const std::string& keyDigest) const;
    [[nodiscard]] static std::string digestOf(const PresentedKey& key);
    // The id of a request: the caller's, where the dialect has one, else a new one.
    [[nodiscard]] std::string requestIdOf(const RequestHead& head);
    [[nodiscard]] std::string nextRequestId() { return m_requestIds.next(); }
    [[nodiscard]] const CallerLimits& callerLimits() const;

    ServiceHealth* health(const ServiceName& service);
    TargetChoice choose(const ServiceName& service, ChoiceRequest request);
    // Leaves a target out of choices for a while, when there are others.
    void avoid(const TargetName& target, util::Duration time);
    // Takes in what a guard tells of its target unasked.
    void recordReport(const TargetName& target, const TargetReport& report);
    // Tells the service's health that a request waits for a target's answer, until endWaiting() with the
    // number that is returned.
    std::uint64_t addOutstanding(const ServiceName& service, const TargetName& target);
    void removeOutstanding(std::uint64_t number);
    [[nodiscard]] const Dependencies& dependencies() const { return m_dependencies; }
    [[nodiscard]] const ConfigurationPointer& configuration() const { return m_configuration; }
    [[nodiscard]] const DirectoryPointer& directory() const { return m_directory; }
    // Since when they are in force here.
    [[nodiscard]] util::Time declarationsSince() const { return m_declarationsSince; }
    [[nodiscard]] util::Time directorySince() const { return m_directorySince; }
    [[nodiscard]] const std::map<ServiceName, ServiceHealth>& services() const { return m_services; }
    [[nodiscard]] bool stopping() const { return m_stopping; }
    [[nodiscard]] RetryGate& retries()
    {
        return m_dependencies.retries ? *m_dependencies.retries : m_localRetries;
    }

    void logRefusal(
        const std::string& requestId, const OrganisationName& organisation, const Refusal& refusal);

    void logCallerDisconnected(const std::string& requestId);

private:
    struct OutstandingRequest {
        ServiceName service;
        TargetName target;
        util::Time since {};
        util::Duration recordedAge {};
    };

    void recordOutstandingAges(util::Time now);
    void updateServices();
    [[nodiscard]] util::Time deadlineOf(const RequestHead& head, const Route& route) const;
    void dropReservedFields(RequestHead& head) const;
    [[nodiscard]] int rankOf(const Route& route, const Organisation* organisation) const;
    tl::expected<const Route*, Refusal> findRoute(const RequestHead& head) const;
    tl::expected<const Organisation*, Refusal> findOrganisation(
        const Route& route, const std::optional<PresentedKey>& key, std::string& digest) const;
    [[nodiscard]] int distanceTo(const Target& target) const;
    void logEjection(const ServiceName& service, const EjectionDecision& decision);

    Dependencies m_dependencies;
    ConfigurationPointer m_configuration;
    DirectoryPointer m_directory;
    util::Time m_declarationsSince {};
    util::Time m_directorySince {};
    RouteSplitter m_splitter;
    std::map<ServiceName, ServiceHealth> m_services;
    // Targets that are left out of choices before the time given.
    std::map<TargetName, util::Time> m_avoided;
    std::map<TargetName, ServiceName> m_serviceOfTarget;
    LocalRetryGate m_localRetries;
    std::map<std::uint64_t, OutstandingRequest> m_outstanding;
    std::uint64_t m_lastOutstandingNumber = 0;
    std::set<InstanceName> m_leaving;
    RequestIdGenerator m_requestIds;
    std::mt19937_64 m_random;
    bool m_keysFresh = true;
    bool m_ready = false;
    bool m_stopping = false;
};

} // namespace tarragonhaven
