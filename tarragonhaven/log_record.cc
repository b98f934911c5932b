#include "tarragonhaven/log_record.h"

namespace tarragonhaven {

std::string LogRecord::text(const char* name) const
{
    const auto found = fields.find(name);
    if (found == fields.end())
        return {};
    return found->is_string() ? found->get<std::string>() : found->dump();
}

std::optional<LogRecord> parseLogRecord(std::string_view line)
{
    const auto brace = line.find('{');
    if (brace == std::string_view::npos)
        return std::nullopt;
    LogRecord record;
    record.fields = nlohmann::json::parse(line.substr(brace), nullptr, false);
    if (!record.fields.is_object())
        return std::nullopt;
    record.instance = record.text("instance");
    record.kind = record.text("kind");
    record.request = record.text("request");
    std::string error;
    if (record.kind.empty()
        || !absl::ParseTime(absl::RFC3339_full, record.text("time"), &record.time, &error))
        return std::nullopt;
    return record;
}

} // namespace tarragonhaven
