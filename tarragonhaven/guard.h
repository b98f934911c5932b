#pragma once

#include "tarragonhaven/control_message.h"
#include "tarragonhaven/crash_containment.h"
#include "tarragonhaven/directory.h"
#include "tarragonhaven/guarded_target.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace tarragonhaven {

// The targets that this node guards. All traffic to a target goes through its guard, so the guard alone
// assigns its slots and keeps its breaker, and sees when it crashes. Not thread-safe: runs on the thread of
// `io`.
class Guard {
public:
    Guard(
        boost::asio::io_context& io, InstanceName self, std::uint64_t incarnation, GuardOptions options = {});

    // Sets what services declare of cold targets; applies from the next directory on.
    void setColdStart(std::map<ServiceName, ColdStartPolicy> policies) { m_coldStart = std::move(policies); }
    // Applies a new directory. A target that is no longer listed finishes the requests that it has; if the
    // same start of it is listed again, what it has announced still holds. A target that restarted under the
    // same name begins without evidence, without announcements and without connections.
    void apply(const Directory& directory);
    // Records what a peer reports about a target, unless the directory is newer.
    void recordPeerState(const TargetStateMessage& message);
    // Records what a peer reports about the evacuation of this node's data centre, unless the directory or an
    // earlier report is newer. Returns whether this changes what the guard does.
    bool recordPeerEvacuation(const EvacuationMessage& message);
    // Returns the target, or null if this node does not guard it.
    [[nodiscard]] std::shared_ptr<GuardedTarget> find(const TargetName& name) const;
    // A report on a target, and the entry nodes to which it must be sent.
    struct ReportNotification {
        TargetName target;
        TargetReport report;
        std::vector<InstanceName> entries;
    };

    // A change of the state of a target's breaker.
    struct BreakerChange {
        TargetName target;
        TargetBreaker::State state = TargetBreaker::State::Closed;
        // Successful responses and failures of the target so far.
        std::uint64_t successes = 0;
        std::uint64_t failures = 0;
    };
    // Returns the changes since the last call, for the log.
    std::vector<BreakerChange> takeBreakerChanges();

    // A change of a target between cold and warm.
    struct TargetColdChange {
        TargetName target;
        ColdChange change;
        double requestsPerSecond = 0;
    };
    // Returns the changes since the last call, for the log.
    std::vector<TargetColdChange> takeColdChanges();

    [[nodiscard]] CrashContainment& containment() { return m_containment; }
    [[nodiscard]] const CrashContainment& containment() const { return m_containment; }

    // Refuses requests whose queue timeout has passed, and returns the reports that are due. Must be called
    // every few milliseconds.
    std::vector<ReportNotification> tick();
    // Refuses new requests from now on, because the instance is stopping.
    void drain();

    // Returns whether the next nested request of a target counts as one of a repeated run. A nested request
    // does not name the run that makes it, so as many count as the share of repeats among the present runs.
    bool takeNestedRepeat();

    // Returns whether any request is running at a target or waiting for one, also at a target that the
    // directory no longer lists.
    [[nodiscard]] bool busy() const;
    [[nodiscard]] const std::map<TargetName, std::shared_ptr<GuardedTarget>>& targets() const
    {
        return m_targets;
    }

private:
    struct UnlistedTarget {
        std::shared_ptr<GuardedTarget> guarded;
        util::Time since {};
    };

    // Removes the state of this start of a target from `previous` or the unlisted targets, and returns it, or
    // null if there is none.
    std::shared_ptr<GuardedTarget> takeKnown(
        const Target& target, std::map<TargetName, std::shared_ptr<GuardedTarget>>& previous);

    // What a peer has reported of the evacuation of a data centre, until the directory is as new.
    struct PeerEvacuation {
        bool evacuated = false;
        StorePosition asOf;
    };

    // Asks a target at its health path how long it remains cold.
    void probe(const std::shared_ptr<GuardedTarget>& target);
    // Applies to a target what the directory or a newer report of a peer says about its data centre.
    void updateEvacuation(GuardedTarget& target) const;

    boost::asio::io_context& m_io;
    InstanceName m_self;
    std::uint64_t m_incarnation;
    // The sum of the shares of repeats for past nested requests, less those that counted as repeats.
    double m_nestedRepeats = 0;
    CrashContainment m_containment;
    GuardOptions m_options;
    bool m_draining = false;
    // The position in the store's history up to which the applied directory is complete.
    StorePosition m_directoryAsOf;
    std::map<DataCentreName, PeerEvacuation> m_peerEvacuations;
    std::map<ServiceName, ColdStartPolicy> m_coldStart;
    // The data centre of each instance in the directory.
    std::map<InstanceName, DataCentreName> m_dataCentres;
    std::map<TargetName, std::shared_ptr<GuardedTarget>> m_targets;
    // Targets that the directory listed before.
    std::map<TargetName, UnlistedTarget> m_unlisted;
    // Starts of targets that were removed or replaced with requests in progress. The requests keep them
    // alive.
    std::vector<std::weak_ptr<GuardedTarget>> m_finishing;
};

} // namespace tarragonhaven
