#pragma once

#include "tarragonhaven/directory.h"
#include "tarragonhaven/guarded_target.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace tarragonhaven {

// The targets that this node guards.
class Guard {
public:
    Guard(
        boost::asio::io_context& io, InstanceName self, std::uint64_t incarnation, GuardOptions options = {});

    // Takes over the targets of a new directory. A target that is no longer in it finishes what it has; one
    // that started anew under its name begins without evidence and connections.
    void apply(const Directory& directory);
    // The target, or null when this node does not guard it.
    [[nodiscard]] std::shared_ptr<GuardedTarget> find(const TargetName& name) const;
    // A target's state that entries are to be told.
    struct ReportNotification {
        TargetName target;
        TargetReport report;
        std::vector<InstanceName> entries;
    };

    // A target whose breaker has changed.
    struct BreakerChange {
        TargetName target;
        TargetBreaker::State state = TargetBreaker::State::Closed;
        // The target's answers and failures so far.
        std::uint64_t answers = 0;
        std::uint64_t failures = 0;
    };
    // The changes since the last call, for the log.
    std::vector<BreakerChange> takeBreakerChanges();

    // Refuses requests whose time in a queue has passed, and returns what entries are to be told. Call it
    // every few milliseconds.
    std::vector<ReportNotification> tick();
    // Refuses new requests, since the instance stops.
    void drain();

    // Whether a request is at a target or waits for one.
    [[nodiscard]] bool busy() const;
    [[nodiscard]] const std::map<TargetName, std::shared_ptr<GuardedTarget>>& targets() const
    {
        return m_targets;
    }

private:
    boost::asio::io_context& m_io;
    InstanceName m_self;
    std::uint64_t m_incarnation;
    GuardOptions m_options;
    bool m_draining = false;
    std::map<TargetName, std::shared_ptr<GuardedTarget>> m_targets;
};

} // namespace tarragonhaven
