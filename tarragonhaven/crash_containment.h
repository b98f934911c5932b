#pragma once

#include "tarragonhaven/control_message.h"
#include "tarragonhaven/crash_detector.h"
#include "tarragonhaven/crash_suspects.h"
#include "tarragonhaven/log_channel.h"
#include "tarragonhaven/refusal.h"

#include <boost/asio/io_context.hpp>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace tarragonhaven {

// Keeps a request that crashes each target that runs it from reaching one target after the other: detects the
// crashes of the targets that this node guards, exchanges with the other nodes what they have observed, and
// refuses requests that CrashSuspects holds back. The owner sends the messages that takeMessages() returns to
// all other nodes.
class CrashContainment {
public:
    explicit CrashContainment(boost::asio::io_context& io);

    // Returns the refusal of a request that is held back, if it is.
    std::optional<Refusal> refusalFor(RequestFingerprint fingerprint);
    // Records that another node has refused the request as held back.
    void recordRefusal(RequestFingerprint fingerprint, const Refusal& refusal);
    // Returns whether the request was running when a target crashed and has not been answered since, so that
    // it is sent to one target at a time.
    [[nodiscard]] bool isSuspect(RequestFingerprint fingerprint) const
    {
        return m_suspects.isSuspect(fingerprint);
    }

    // Records the end of a request that was sent to a guarded target: its connection was lost, or it was
    // answered.
    void recordConnectionLost(const CrashDetector::Observed& target, RequestFingerprint fingerprint);
    void recordAnswer(RequestFingerprint fingerprint);

    // Handle a message of another node. Return what is to be sent back, if anything.
    std::optional<SuspectStateMessage> receive(const CrashReportMessage& message);
    std::optional<SuspectStateMessage> receive(const SuspectQueryMessage& message) const;
    std::optional<SuspectStateMessage> receive(const SuspectStateMessage& message);
    std::optional<SuspectStateMessage> receive(const SuspectAnsweredMessage& message);
    // Returns the message with which a node that has started asks a few others for what they know.
    [[nodiscard]] static SuspectQueryMessage query();
    // Returns the messages that are due.
    std::vector<ControlMessage> takeMessages();
    // Returns the crashes that this node has detected since the last call, for the log.
    std::vector<CrashReportMessage> takeCrashes() { return std::exchange(m_newCrashes, {}); }
    // Removes what is out of date. May be called as often as convenient.
    void tick();

    [[nodiscard]] std::uint64_t crashes() const { return m_crashes; }
    [[nodiscard]] const CrashSuspects& suspects() const { return m_suspects; }

private:
    struct PendingMessage {
        util::Time due {};
        ControlMessage message;
    };

    void onCrash(const TargetName& target, const std::vector<RequestFingerprint>& running);
    void send(const ControlMessage& message);

    CrashSuspects m_suspects;
    CrashDetector m_detector;
    std::deque<PendingMessage> m_pending;
    std::vector<CrashReportMessage> m_newCrashes;
    std::uint64_t m_crashes = 0;
    util::Time m_nextCleanup {};
};

// Writes the log line of a crash, with the requests that the target was running.
void logCrash(LogChannel& log, const CrashReportMessage& crash);

} // namespace tarragonhaven
