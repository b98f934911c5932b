#pragma once

#include "tarragonhaven/names.h"
#include "tarragonhaven/request_fingerprint.h"
#include "util/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <vector>

namespace tarragonhaven {

struct CrashSuspectOptions {
    // The number of crashes after which a request is quarantined, if it was running at this share of all
    // crashes in the time before or if its crashes came this long after one another. Many targets that crash
    // at the same time, for another reason, run many requests that are sent often.
    int crashLimit = 3;
    double minimumCrashShare = 0.8;
    util::Duration crashShareWindow = std::chrono::seconds(10);
    util::Duration separateCrashInterval = std::chrono::milliseconds(500);
    // How long after a crash the reports of others that came at the same time are waited for.
    util::Duration reportDelay = std::chrono::milliseconds(100);
    // The length of the first quarantine. Each further one is twice as long as the one before, up to the
    // maximum.
    util::Duration firstQuarantine = std::chrono::minutes(2);
    util::Duration maximumQuarantine = std::chrono::hours(1);
    // After a quarantine, a node lets one such request through in this time, to try whether it still crashes
    // targets.
    util::Duration trialInterval = std::chrono::seconds(10);
    // How long crashes are remembered.
    util::Duration memory = std::chrono::minutes(10);
    // A request that a target has answered this recently is not suspected.
    util::Duration answerMemory = std::chrono::seconds(10);
};

// A crash of a target, with the time at which its guard detected it, in nanoseconds of the guard's clock. The
// time only tells crashes of the target apart.
struct TargetCrash {
    TargetName target;
    std::int64_t detectedAt = 0;

    friend auto operator<=>(const TargetCrash&, const TargetCrash&) = default;
    friend bool operator==(const TargetCrash&, const TargetCrash&) = default;
};

// What a node knows of a request that was running at targets when they crashed, as it is sent to other nodes.
struct SuspectState {
    RequestFingerprint fingerprint;
    // The number of crashes since the request was last answered.
    int crashes = 0;
    // The number of quarantines, and the time that is left of the latest in milliseconds.
    int quarantines = 0;
    std::int64_t quarantineMs = 0;
    MSGPACK_DEFINE_ARRAY(fingerprint, crashes, quarantines, quarantineMs);

    friend auto operator<=>(const SuspectState&, const SuspectState&) = default;
    friend bool operator==(const SuspectState&, const SuspectState&) = default;
};

// Finds requests that crash each target that runs them, and holds them back.
//
// All requests that a target was running when it crashed are suspects. A request that a target has answered
// is none; this tells the one that crashes targets from those that happened to run beside it, even if the
// latter are sent often. A request that was running at several crashes, and was answered by no target
// meanwhile, is quarantined: for two minutes at first, then for twice as long after each further crash.
//
// Each node has its own table. Nodes tell one another of crashes and of answers to suspects; a message that
// is lost makes a node slower to hold a request back, and never makes it refuse a request that others would
// not. Not thread-safe.
class CrashSuspects {
public:
    explicit CrashSuspects(CrashSuspectOptions options = {})
        : m_options(options)
    {
    }

    // Records that a target crashed while it ran these requests, as observed by its guard. Returns the states
    // of those that are suspects now, for the other nodes.
    std::vector<SuspectState> recordCrash(
        const TargetCrash& crashed, const std::vector<RequestFingerprint>& running, util::Time now);
    // Records what another node has sent after a crash that it observed. Returns the states of those suspects
    // of which this node knows more than the sender, for the sender.
    std::vector<SuspectState> recordReport(
        const TargetCrash& crashed, const std::vector<SuspectState>& states, util::Time now);
    // Adopts what other nodes know.
    void merge(const std::vector<SuspectState>& states, util::Time now);

    // Records that another node holds the request back for this long.
    void recordHold(RequestFingerprint fingerprint, util::Duration length, util::Time now);

    // Records a complete response of a target. Returns whether the request was a suspect, so that the other
    // nodes are to be told of the answer.
    bool recordAnswer(RequestFingerprint fingerprint, util::Time now);
    // Records that another node has seen a complete response.
    void recordRemoteAnswer(RequestFingerprint fingerprint) { m_records.erase(fingerprint); }

    // Returns how long the request is held back, or nothing if it may run. After a quarantine this lets one
    // request through, and holds back others while that one shows whether it still crashes targets.
    std::optional<util::Duration> quarantineOf(RequestFingerprint fingerprint, util::Time now);
    // Returns whether the request was running at a crash and has not been answered since.
    [[nodiscard]] bool isSuspect(RequestFingerprint fingerprint) const;
    // Returns the number of crashes at which the request was running.
    [[nodiscard]] int crashesOf(RequestFingerprint fingerprint) const;
    void removeExpired(util::Time now);
    // Returns the states of up to `count` suspects, of those with the most quarantines and crashes.
    [[nodiscard]] std::vector<SuspectState> strongest(std::size_t count, util::Time now) const;
    // Returns the number of requests that are suspects, and of those that are held back.
    [[nodiscard]] std::size_t suspectCount() const;
    [[nodiscard]] std::size_t heldCount(util::Time now) const;

private:
    struct KnownCrash {
        TargetCrash crash;
        util::Time recordedAt {};
    };
    struct Record {
        // The latest crashes that this node has observed or was told of.
        std::vector<KnownCrash> known;
        // All crashes, including those that only other nodes know one by one.
        int crashes = 0;
        int quarantines = 0;
        util::Time heldUntil {};
        // Whether this node has let a request through since the latest quarantine.
        bool onTrial = false;
        util::Time lastCrash {};
    };

    void recordOne(Record& record, const TargetCrash& crashed, util::Time now);
    void recordTotal(const TargetCrash& crashed, util::Time now);
    // Returns whether the request is the likely cause of its crashes.
    [[nodiscard]] bool explainsCrashes(const Record& record, util::Time now) const;
    // Holds the request back from its latest crash on.
    void quarantine(Record& record) const;
    bool mergeOne(const SuspectState& state, util::Time now);
    [[nodiscard]] bool answeredRecently(RequestFingerprint fingerprint, util::Time now) const;
    [[nodiscard]] static SuspectState stateOf(
        RequestFingerprint fingerprint, const Record& record, util::Time now);
    void limitSize();

    CrashSuspectOptions m_options;
    std::map<RequestFingerprint, Record> m_records;
    std::map<RequestFingerprint, util::Time> m_answered;
    // The latest crashes of all targets.
    std::vector<KnownCrash> m_crashes;
};

} // namespace tarragonhaven
