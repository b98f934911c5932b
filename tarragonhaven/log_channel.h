#pragma once

#include "tarragonhaven/log_line.h"
#include "util/bounded_ring.h"

#include <nlohmann/json.hpp>
#include <string>

namespace tarragonhaven {

// The way of one thread to the log writer. Lines beyond the ring's bound are dropped and counted; the writer
// says how many. Each line gets "time", "level", "instance" and "kind"; the caller adds the rest.
class LogChannel {
public:
    LogChannel(std::string instance, LogLevel threshold);

    // Logs one decision or event. `fields` is a JSON object; it must hold no key and no body.
    void write(LogLevel level, const char* kind, nlohmann::ordered_json fields);
    [[nodiscard]] bool enabled(LogLevel level) const { return level >= m_threshold; }
    [[nodiscard]] util::BoundedRing<LogLine>& ring() { return m_ring; }

private:
    std::string m_instance;
    LogLevel m_threshold;
    util::BoundedRing<LogLine> m_ring;
};

} // namespace tarragonhaven
