#include "tarragonhaven/log_channel.h"

#include <absl/time/clock.h>
#include <absl/time/time.h>

namespace tarragonhaven {

namespace {

    constexpr std::size_t ringCapacity = 8192;
    constexpr util::Duration summaryInterval = std::chrono::seconds(1);

    const char* toString(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return "debug";
        case LogLevel::Info:
            return "info";
        case LogLevel::Warning:
            return "warning";
        case LogLevel::Error:
            return "error";
        }
        return "info";
    }

} // namespace

LogChannel::LogChannel(std::string instance, LogLevel threshold, const LogBudgetOptions& budget)
    : m_instance(std::move(instance))
    , m_threshold(threshold)
    , m_budget(budget, util::BootClock::now())
    , m_ring(ringCapacity)
{
}

void LogChannel::write(LogLevel level, const char* kind, nlohmann::ordered_json fields)
{
    if (!enabled(level))
        return;
    const auto now = util::BootClock::now();
    writeSummary(now);
    if (!m_budget.admits(level, now) || !push(level, kind, fields))
        recordDropped(kind, now);
}

void LogChannel::tick()
{
    if (!m_droppedByKind.empty())
        writeSummary(util::BootClock::now());
}

bool LogChannel::push(LogLevel level, const char* kind, const nlohmann::ordered_json& fields)
{
    nlohmann::ordered_json line;
    line["time"] = absl::FormatTime("%Y-%m-%dT%H:%M:%E6SZ", absl::Now(), absl::UTCTimeZone());
    line["level"] = toString(level);
    line["instance"] = m_instance;
    line["kind"] = kind;
    line.update(fields);
    auto text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    const auto bytes = text.size();
    if (!m_ring.push({ level, std::move(text) }))
        return false;
    m_budget.charge(bytes);
    ++m_written;
    return true;
}

void LogChannel::recordDropped(const char* kind, util::Time now)
{
    if (m_droppedByKind.empty())
        m_droppedSince = now;
    ++m_droppedByKind[kind];
    ++m_dropped;
}

// Bypasses the budget's check, because there is at most one summary per second.
void LogChannel::writeSummary(util::Time now)
{
    if (m_droppedByKind.empty() || now - m_droppedSince < summaryInterval)
        return;
    const nlohmann::ordered_json fields { { "event", "left-out" },
        { "seconds", util::toSeconds(now - m_droppedSince) }, { "lines", m_droppedByKind } };
    if (push(LogLevel::Warning, "log", fields))
        m_droppedByKind.clear();
}

} // namespace tarragonhaven
