#pragma once

#include "tarragonhaven/admission.h"
#include "tarragonhaven/body_budget.h"
#include "tarragonhaven/configuration.h"
#include "tarragonhaven/directory.h"
#include "tarragonhaven/entry_options.h"
#include "tarragonhaven/evacuation/evacuation_reports.h"
#include "tarragonhaven/evacuation/region_restriction.h"
#include "tarragonhaven/guard.h"
#include "tarragonhaven/key_filter.h"
#include "tarragonhaven/log_channel.h"
#include "tarragonhaven/peer_pool.h"
#include "tarragonhaven/request_context.h"
#include "tarragonhaven/request_id_generator.h"
#include "tarragonhaven/retry_limiter.h"
#include "tarragonhaven/route_splitter.h"
#include "tarragonhaven/service_health.h"
#include "tarragonhaven/spillover/spill_over.h"
#include "tarragonhaven/target_chooser.h"
#include "tarragonhaven/target_notice_table.h"
#include "tarragonhaven/traffic_metrics.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace tarragonhaven {

// A caller's request that passed the checks of Entry::accept(): its context, its head and its route.
struct AcceptedRequest {
    RequestContext context;
    RequestHead head;
    // A copy, so that it stays valid when the configuration changes.
    Route route;
    // The digest of the caller's key. Empty when an open route is called without a key.
    std::string keyDigest;
    // The value of the Idempotency-Key field, or empty.
    std::string idempotencyKey;
    RegionRestriction regions;
};

// The state and decisions of the entry node for callers' requests: authenticates requests, finds their
// routes, tracks the health of services and chooses targets. May be used on the traffic thread only. A
// request that cannot be accepted yields a Refusal.
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
        // Limits retries across the fleet. If null, only the retries of this node are limited.
        RetryLimiter* retries = nullptr;
    };

    explicit Entry(Dependencies dependencies);

    // Replaces the declarations and the directory of targets. Either may be unchanged, or null if this node
    // has not received one yet.
    void apply(ConfigurationPointer configuration, DirectoryPointer directory);
    // Replaces the set of instances that are leaving the fleet, as reported by the platform's list of
    // instances or by the instances themselves.
    void markLeaving(const std::set<InstanceName>& instances);
    // Sets whether keys may be accepted. False while this node may have missed the revocation of a key.
    void setKeysFresh(bool fresh) { m_keysFresh = fresh; }
    void setReady(bool ready) { m_ready = ready; }
    void stop() { m_stopping = true; }
    // Records the ages of outstanding requests, evaluates the health of services and ejects or reinstates
    // targets. Must be called ten times a second.
    void tick();

    // Checks the route, key and organisation of a head as sent by the caller. The head in the result no
    // longer contains the key.
    tl::expected<AcceptedRequest, Refusal> accept(RequestHead head);
    // Returns the route of a head, or null if there is none. Valid until the configuration changes.
    [[nodiscard]] const Route* routeOf(const RequestHead& head) const;
    // Returns whether a key that was accepted earlier would still be accepted.
    [[nodiscard]] bool isStillAccepted(const std::string& keyDigest) const;
    [[nodiscard]] static std::string digestOf(const PresentedKey& key);
    // Returns the request id that the caller sent, if the header names define a field for it. Returns a new
    // id if there is no such field, or if its value is empty or longer than 200 bytes.
    [[nodiscard]] std::string requestIdOf(const RequestHead& head);
    [[nodiscard]] std::string nextRequestId() { return m_requestIds.next(); }
    [[nodiscard]] const CallerLimits& callerLimits() const;

    ServiceHealth* health(const ServiceName& service);
    // Chooses among the targets in the regions that the request may be sent to.
    TargetChoice choose(
        const ServiceName& service, ChoiceRequest request, const RegionRestriction& regions = {});
    // Draws the data centre of the first attempt of a request, if there is a plan for its service.
    SpillPlacement place(const AcceptedRequest& request);
    [[nodiscard]] SpillOver& spillOver() { return m_spillOver; }
    // Returns whether a request may be sent to the target, and so to the node that guards it.
    [[nodiscard]] bool isAllowed(const Target& target, const RegionRestriction& regions) const;
    // Excludes a target from choices for `time`, unless no other target can be chosen.
    void avoid(const TargetName& target, util::Duration time);
    // Records a report of a guard node about its target.
    void recordReport(const TargetName& target, const TargetReport& report);
    // Records in the service's health that a request awaits the response of a target, until
    // removeOutstanding() is called with the returned number.
    std::uint64_t addOutstanding(const ServiceName& service, const TargetName& target);
    void removeOutstanding(std::uint64_t number);
    // Returns what a target has announced about itself, as far as this node knows.
    [[nodiscard]] TargetNotice noticeOf(const Target& target) const { return m_notices.find(target); }
    [[nodiscard]] const Dependencies& dependencies() const { return m_dependencies; }
    [[nodiscard]] const ConfigurationPointer& configuration() const { return m_configuration; }
    [[nodiscard]] const DirectoryPointer& directory() const { return m_directory; }
    // The times at which the present declarations and directory were applied on this node.
    [[nodiscard]] util::Time declarationsSince() const { return m_declarationsSince; }
    [[nodiscard]] util::Time directorySince() const { return m_directorySince; }
    [[nodiscard]] const std::map<ServiceName, ServiceHealth>& services() const { return m_services; }
    [[nodiscard]] bool stopping() const { return m_stopping; }
    // Counts the bodies that are kept for all callers.
    [[nodiscard]] BodyBudget& bodyBudget() { return m_bodyBudget; }
    [[nodiscard]] const BodyBudget& bodyBudget() const { return m_bodyBudget; }
    [[nodiscard]] RetryLimiter& retries()
    {
        return m_dependencies.retries ? *m_dependencies.retries : m_localRetries;
    }

    void logRefusal(
        const std::string& requestId, const OrganisationName& organisation, const Refusal& refusal);

    void logCallerDisconnected(const std::string& requestId);

private:
    // The memory for bodies that are kept: request bodies until they are sent, or may be sent again, and
    // responses until they are complete. Beyond it bodies are passed on as they arrive.
    static constexpr std::size_t maximumKeptBodyBytes = 24 * 1024 * 1024;

    struct OutstandingRequest {
        ServiceName service;
        TargetName target;
        util::Time since {};
        util::Duration recordedAge {};
    };

    void recordOutstandingAges(util::Time now);
    void updateServices();
    void updateSpillOver(util::Time now);
    // Returns the views of a service's targets, with what is known of them beside the service's health.
    [[nodiscard]] std::vector<TargetView> viewsOf(const ServiceHealth& health, util::Time now) const;
    [[nodiscard]] util::Time deadlineOf(const RequestHead& head, const Route& route) const;
    void dropReservedFields(RequestHead& head) const;
    [[nodiscard]] int rankOf(const Route& route, const Organisation* organisation) const;
    tl::expected<const Route*, Refusal> findRoute(const RequestHead& head) const;
    tl::expected<const Organisation*, Refusal> findOrganisation(
        const Route& route, const std::optional<PresentedKey>& key, std::string& digest) const;
    // Returns the refusal of a request if no target of its service is in a region that it may be sent to.
    [[nodiscard]] std::optional<Refusal> regionRefusal(const AcceptedRequest& accepted) const;
    // Records that a guard refuses requests because its data centre is evacuated.
    void recordEvacuation(
        const ServiceName& service, const TargetName& target, const StorePosition& asOf, util::Time now);
    [[nodiscard]] int distanceTo(const Target& target) const;
    void logEjection(const ServiceName& service, const EjectionDecision& decision);

    Dependencies m_dependencies;
    ConfigurationPointer m_configuration;
    DirectoryPointer m_directory;
    util::Time m_declarationsSince {};
    util::Time m_directorySince {};
    BodyBudget m_bodyBudget { maximumKeptBodyBytes };
    RouteSplitter m_splitter;
    std::map<ServiceName, ServiceHealth> m_services;
    // Targets passed to avoid(), with the time at which they may be chosen again.
    std::map<TargetName, util::Time> m_avoided;
    std::map<TargetName, ServiceName> m_serviceOfTarget;
    TargetNoticeTable m_notices;
    EvacuationReports m_evacuationReports;
    SpillOver m_spillOver;
    LocalRetryLimiter m_localRetries;
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
