#include "tarragonhaven/log_channel.h"

#include <absl/time/clock.h>
#include <absl/time/time.h>

namespace tarragonhaven {

namespace {

    constexpr std::size_t ringLines = 8192;

    const char* levelName(LogLevel level)
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

LogChannel::LogChannel(std::string instance, LogLevel threshold)
    : m_instance(std::move(instance))
    , m_threshold(threshold)
    , m_ring(ringLines)
{
}

void LogChannel::write(LogLevel level, const char* kind, nlohmann::ordered_json fields)
{
    if (!enabled(level))
        return;
    nlohmann::ordered_json line;
    line["time"] = absl::FormatTime("%Y-%m-%dT%H:%M:%E6SZ", absl::Now(), absl::UTCTimeZone());
    line["level"] = levelName(level);
    line["instance"] = m_instance;
    line["kind"] = kind;
    line.update(fields);
    m_ring.push({ level, line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) });
}

} // namespace tarragonhaven
