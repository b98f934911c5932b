#include "tarragonhaven/outcome_summary.h"

#include <absl/strings/str_cat.h>

namespace tarragonhaven {

void OutcomeSummary::addLogLine(std::string_view line)
{
    const bool isEnd = line.find("\"kind\":\"answer\"") != std::string_view::npos
        || line.find("\"kind\":\"refusal\"") != std::string_view::npos
        || line.find("\"kind\":\"caller-gone\"") != std::string_view::npos;
    const auto record = isEnd ? parseLogRecord(line) : std::nullopt;
    if (!record)
        return;
    const auto outcome = record->kind == "answer" ? absl::StrCat("status ", record->text("status"))
        : record->kind == "refusal"
        ? absl::StrCat("refused ", record->text("reason"), ", ", record->text("run"))
        : std::string("caller disconnected");
    auto& row = m_rows[outcome];
    ++row.count;
    row.example = record->request;
}

} // namespace tarragonhaven
