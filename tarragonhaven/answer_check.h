#pragma once

#include "tarragonhaven/header_names.h"
#include "tarragonhaven/message_head.h"

#include <compare>
#include <string>

namespace tarragonhaven {

// What the head of an answer says of itself.
enum class AnswerVerdict {
    // The target's own answer to the request.
    Sound,
    // The target says that it did not run the request.
    NotRun,
    // An answer to another request.
    Foreign,
    // No answer that a caller may be shown; the request may have run.
    Unsound,
};

struct AnswerJudgement {
    AnswerVerdict verdict = AnswerVerdict::Sound;
    std::string detail;

    friend auto operator<=>(const AnswerJudgement&, const AnswerJudgement&) = default;
    friend bool operator==(const AnswerJudgement&, const AnswerJudgement&) = default;
};

// Judges the head of an answer to the request with this id. A dialect without the field that a check needs
// leaves the check out.
AnswerJudgement judgeAnswer(
    const ResponseHead& head, const std::string& requestId, const HeaderNames& dialect);

} // namespace tarragonhaven
