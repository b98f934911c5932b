// A crash has one cause among the requests that the target was running. The others were there by chance, so
// they are answered when they run elsewhere, or have been answered a moment ago. Two kinds of requests stay
// suspects for longer: one that crashes targets, and one that is sent once only, which nobody holds back.

#include "tarragonhaven/crash_suspects.h"

#include <algorithm>
#include <utility>

namespace tarragonhaven {

namespace {

    // Crashes that are remembered one by one for a request, and the sizes of the tables.
    constexpr std::size_t maximumKnownCrashes = 64;
    constexpr std::size_t maximumRecords = 4096;
    constexpr std::size_t maximumAnswered = 16384;
    constexpr std::size_t maximumCrashes = 4096;

    std::int64_t toMilliseconds(util::Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    template <typename Known> bool contains(const std::vector<Known>& crashes, const TargetCrash& crash)
    {
        return std::any_of(
            crashes.begin(), crashes.end(), [&crash](const Known& known) { return known.crash == crash; });
    }

} // namespace

bool CrashSuspects::answeredRecently(RequestFingerprint fingerprint, util::Time now) const
{
    const auto found = m_answered.find(fingerprint);
    return found != m_answered.end() && now - found->second <= m_options.answerMemory;
}

SuspectState CrashSuspects::stateOf(RequestFingerprint fingerprint, const Record& record, util::Time now)
{
    return { fingerprint, record.crashes, record.quarantines,
        std::max<std::int64_t>(0, toMilliseconds(record.heldUntil - now)) };
}

void CrashSuspects::quarantine(Record& record) const
{
    auto length = m_options.firstQuarantine;
    for (int i = 0; i < record.quarantines && length < m_options.maximumQuarantine; ++i)
        length *= 2;
    ++record.quarantines;
    record.heldUntil = record.lastCrash + std::min(length, m_options.maximumQuarantine);
    record.onTrial = false;
}

void CrashSuspects::recordOne(Record& record, const TargetCrash& crashed, util::Time now)
{
    if (contains(record.known, crashed))
        return;
    if (record.known.size() == maximumKnownCrashes)
        record.known.erase(record.known.begin());
    record.known.push_back({ crashed, now });
    ++record.crashes;
    record.lastCrash = now;
    // A request that was passed on before the quarantine began says nothing about what comes after it.
    const bool passedOnBefore = now < record.heldUntil && !record.onTrial;
    if (record.quarantines > 0 && !passedOnBefore)
        quarantine(record);
}

void CrashSuspects::recordTotal(const TargetCrash& crashed, util::Time now)
{
    std::erase_if(m_crashes,
        [&](const KnownCrash& known) { return now - known.recordedAt > m_options.crashShareWindow; });
    if (m_crashes.size() < maximumCrashes && !contains(m_crashes, crashed))
        m_crashes.push_back({ crashed, now });
}

bool CrashSuspects::explainsCrashes(const Record& record, util::Time now) const
{
    const auto count = [&](const std::vector<KnownCrash>& crashes) {
        return std::count_if(crashes.begin(), crashes.end(), [&](const KnownCrash& known) {
            const auto age = now - known.recordedAt;
            return age >= m_options.reportDelay && age <= m_options.crashShareWindow;
        });
    };
    const auto own = static_cast<double>(count(record.known));
    if (own > 0 && own >= m_options.minimumCrashShare * static_cast<double>(count(m_crashes)))
        return true;
    int separate = 0;
    util::Time previous {};
    for (const auto& known : record.known) {
        if (separate > 0 && known.recordedAt - previous < m_options.separateCrashInterval)
            continue;
        ++separate;
        previous = known.recordedAt;
    }
    return separate >= m_options.crashLimit;
}

std::vector<SuspectState> CrashSuspects::recordCrash(
    const TargetCrash& crashed, const std::vector<RequestFingerprint>& running, util::Time now)
{
    recordTotal(crashed, now);
    std::vector<SuspectState> states;
    for (const auto fingerprint : running) {
        if (!fingerprint.known() || answeredRecently(fingerprint, now))
            continue;
        auto& record = m_records[fingerprint];
        recordOne(record, crashed, now);
        states.push_back(stateOf(fingerprint, record, now));
    }
    limitSize();
    return states;
}

bool CrashSuspects::mergeOne(const SuspectState& state, util::Time now)
{
    auto& record = m_records[state.fingerprint];
    record.lastCrash = std::max(record.lastCrash, now);
    if (answeredRecently(state.fingerprint, now))
        return false;
    record.crashes = std::max(record.crashes, state.crashes);
    if (state.quarantines > record.quarantines) {
        record.quarantines = state.quarantines;
        record.onTrial = false;
    }
    const auto held = std::clamp<util::Duration>(
        std::chrono::milliseconds(state.quarantineMs), {}, m_options.maximumQuarantine);
    if (state.quarantines >= record.quarantines)
        record.heldUntil = std::max(record.heldUntil, now + held);
    return record.crashes > state.crashes || record.quarantines > state.quarantines;
}

std::vector<SuspectState> CrashSuspects::recordReport(
    const TargetCrash& crashed, const std::vector<SuspectState>& states, util::Time now)
{
    recordTotal(crashed, now);
    std::vector<SuspectState> known;
    for (const auto& state : states) {
        if (!state.fingerprint.known())
            continue;
        if (!answeredRecently(state.fingerprint, now))
            recordOne(m_records[state.fingerprint], crashed, now);
        if (mergeOne(state, now))
            known.push_back(stateOf(state.fingerprint, m_records[state.fingerprint], now));
    }
    limitSize();
    return known;
}

void CrashSuspects::merge(const std::vector<SuspectState>& states, util::Time now)
{
    for (const auto& state : states) {
        if (state.fingerprint.known())
            mergeOne(state, now);
    }
    limitSize();
}

void CrashSuspects::recordHold(RequestFingerprint fingerprint, util::Duration length, util::Time now)
{
    if (fingerprint.known())
        mergeOne({ fingerprint, m_options.crashLimit, 1, toMilliseconds(length) }, now);
}

bool CrashSuspects::recordAnswer(RequestFingerprint fingerprint, util::Time now)
{
    if (!fingerprint.known())
        return false;
    if (m_answered.size() < maximumAnswered || m_answered.contains(fingerprint))
        m_answered[fingerprint] = now;
    return m_records.erase(fingerprint) > 0;
}

std::optional<util::Duration> CrashSuspects::quarantineOf(RequestFingerprint fingerprint, util::Time now)
{
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end())
        return std::nullopt;
    auto& record = found->second;
    if (record.quarantines == 0) {
        if (record.crashes < m_options.crashLimit || !explainsCrashes(record, now))
            return std::nullopt;
        quarantine(record);
    }
    if (now < record.heldUntil)
        return record.heldUntil - now;
    record.heldUntil = now + m_options.trialInterval;
    record.onTrial = true;
    return std::nullopt;
}

bool CrashSuspects::isSuspect(RequestFingerprint fingerprint) const { return crashesOf(fingerprint) > 0; }

int CrashSuspects::crashesOf(RequestFingerprint fingerprint) const
{
    const auto found = m_records.find(fingerprint);
    return found == m_records.end() ? 0 : found->second.crashes;
}

void CrashSuspects::removeExpired(util::Time now)
{
    std::erase_if(m_records, [this, now](const auto& item) {
        return now - std::max(item.second.lastCrash, item.second.heldUntil) > m_options.memory;
    });
    std::erase_if(
        m_answered, [this, now](const auto& item) { return now - item.second > m_options.answerMemory; });
}

// Removes the records with the fewest crashes, of these the oldest, while there are too many.
void CrashSuspects::limitSize()
{
    while (m_records.size() > maximumRecords) {
        const auto least
            = std::min_element(m_records.begin(), m_records.end(), [](const auto& left, const auto& right) {
                  return std::pair(left.second.crashes, left.second.lastCrash)
                      < std::pair(right.second.crashes, right.second.lastCrash);
              });
        m_records.erase(least);
    }
}

std::vector<SuspectState> CrashSuspects::strongest(std::size_t count, util::Time now) const
{
    std::vector<SuspectState> states;
    for (const auto& [fingerprint, record] : m_records) {
        if (record.crashes > 0)
            states.push_back(stateOf(fingerprint, record, now));
    }
    std::sort(states.begin(), states.end(), [](const SuspectState& left, const SuspectState& right) {
        return std::pair(left.quarantines, left.crashes) > std::pair(right.quarantines, right.crashes);
    });
    states.resize(std::min(states.size(), count));
    return states;
}

std::size_t CrashSuspects::suspectCount() const
{
    return static_cast<std::size_t>(std::count_if(
        m_records.begin(), m_records.end(), [](const auto& item) { return item.second.crashes > 0; }));
}

std::size_t CrashSuspects::heldCount(util::Time now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_records.begin(), m_records.end(), [now](const auto& item) { return now < item.second.heldUntil; }));
}

} // namespace tarragonhaven
