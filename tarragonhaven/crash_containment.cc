#include "tarragonhaven/crash_containment.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace tarragonhaven {

namespace {

    // Messages are sent twice, since datagrams may be lost.
    constexpr util::Duration repeatDelay = std::chrono::milliseconds(300);
    constexpr util::Duration cleanupInterval = std::chrono::seconds(1);
    // The number of suspects in a message, which keeps it within a datagram.
    constexpr int suspectsPerMessage = 32;

} // namespace

CrashContainment::CrashContainment(boost::asio::io_context& io)
    : m_detector(io, [this](const TargetName& target, const std::vector<RequestFingerprint>& running) {
        onCrash(target, running);
    })
{
}

std::optional<Refusal> CrashContainment::refusalFor(RequestFingerprint fingerprint)
{
    const auto held = m_suspects.quarantineOf(fingerprint, util::BootClock::now());
    if (!held)
        return std::nullopt;
    return Refusal { RefusalReason::CrashesTargets, RunState::NotRun, *held,
        absl::StrCat("request ", toString(fingerprint), " was running when ",
            m_suspects.crashesOf(fingerprint), " targets crashed") };
}

void CrashContainment::recordRefusal(RequestFingerprint fingerprint, const Refusal& refusal)
{
    if (refusal.reason == RefusalReason::CrashesTargets)
        m_suspects.recordHold(fingerprint, refusal.retryAfter, util::BootClock::now());
}

void CrashContainment::recordConnectionLost(
    const CrashDetector::Observed& target, RequestFingerprint fingerprint)
{
    if (fingerprint.known())
        m_detector.recordConnectionLost(target, fingerprint);
}

void CrashContainment::recordAnswer(RequestFingerprint fingerprint)
{
    if (m_suspects.recordAnswer(fingerprint, util::BootClock::now()))
        send(SuspectAnsweredMessage { { fingerprint } });
}

void CrashContainment::onCrash(const TargetName& target, const std::vector<RequestFingerprint>& running)
{
    ++m_crashes;
    const auto now = util::BootClock::now();
    const TargetCrash crash { target, now.time_since_epoch().count() };
    const auto states = m_suspects.recordCrash(crash, running, now);
    for (auto next = states.begin(); next != states.end();) {
        const auto end = next + std::min<std::ptrdiff_t>(suspectsPerMessage, states.end() - next);
        m_newCrashes.push_back({ crash.target.text, crash.detectedAt, { next, end } });
        send(m_newCrashes.back());
        next = end;
    }
}

void CrashContainment::send(const ControlMessage& message)
{
    const auto now = util::BootClock::now();
    m_pending.push_back({ now, message });
    m_pending.push_back({ now + repeatDelay, message });
}

std::vector<ControlMessage> CrashContainment::takeMessages()
{
    const auto now = util::BootClock::now();
    std::vector<ControlMessage> due;
    std::erase_if(m_pending, [&](PendingMessage& pending) {
        if (pending.due > now)
            return false;
        due.push_back(std::move(pending.message));
        return true;
    });
    return due;
}

std::optional<SuspectStateMessage> CrashContainment::receive(const CrashReportMessage& message)
{
    auto known = m_suspects.recordReport(
        { { message.target }, message.detectedAt }, message.suspects, util::BootClock::now());
    return known.empty() ? std::nullopt : std::optional(SuspectStateMessage { std::move(known) });
}

std::optional<SuspectStateMessage> CrashContainment::receive(const SuspectQueryMessage& message) const
{
    const auto count = static_cast<std::size_t>(std::clamp<int>(message.count, 0, suspectsPerMessage));
    auto known = m_suspects.strongest(count, util::BootClock::now());
    return known.empty() ? std::nullopt : std::optional(SuspectStateMessage { std::move(known) });
}

std::optional<SuspectStateMessage> CrashContainment::receive(const SuspectStateMessage& message)
{
    m_suspects.merge(message.suspects, util::BootClock::now());
    return std::nullopt;
}

std::optional<SuspectStateMessage> CrashContainment::receive(const SuspectAnsweredMessage& message)
{
    for (const auto fingerprint : message.fingerprints)
        m_suspects.recordRemoteAnswer(fingerprint);
    return std::nullopt;
}

SuspectQueryMessage CrashContainment::query() { return { suspectsPerMessage }; }

void logCrash(LogChannel& log, const CrashReportMessage& crash)
{
    auto suspects = nlohmann::ordered_json::array();
    for (const auto& state : crash.suspects)
        suspects.push_back({ { "fingerprint", toString(state.fingerprint) }, { "crashes", state.crashes } });
    log.write(
        LogLevel::Warning, "crash", { { "target", crash.target }, { "suspects", std::move(suspects) } });
}

void CrashContainment::tick()
{
    const auto now = util::BootClock::now();
    if (now < m_nextCleanup)
        return;
    m_nextCleanup = now + cleanupInterval;
    m_suspects.removeExpired(now);
}

} // namespace tarragonhaven
