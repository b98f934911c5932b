// The id is looked at first: of an answer to another request nothing else is believed. An answer without an
// id is believed only where it says that nothing ran, which a target may say before it has read the id.

#include "tarragonhaven/answer_check.h"

#include "tarragonhaven/http_fields.h"

namespace tarragonhaven {

namespace {

    constexpr int misdirectedStatus = 421;
    constexpr int firstSuccessStatus = 200;
    constexpr int firstRedirectStatus = 300;

    bool saysNotRun(const ResponseHead& head, const HeaderNames& dialect)
    {
        if (dialect.notRun.empty())
            return false;
        return !fieldValue(head.fields, dialect.notRun).empty()
            || (!dialect.expectedTarget.empty() && head.status == misdirectedStatus);
    }

} // namespace

AnswerJudgement judgeAnswer(
    const ResponseHead& head, const std::string& requestId, const HeaderNames& dialect)
{
    const auto id = dialect.requestId.empty() ? std::string_view(requestId)
                                              : fieldValue(head.fields, dialect.requestId);
    if (!id.empty() && id != requestId)
        return { AnswerVerdict::Foreign, "an answer to another request" };
    if (saysNotRun(head, dialect))
        return { AnswerVerdict::NotRun,
            head.status == misdirectedStatus ? "another target has the address"
                                             : "the target did not run it" };
    if (id.empty())
        return { AnswerVerdict::Unsound, "an answer without the request's id" };
    const bool success = head.status >= firstSuccessStatus && head.status < firstRedirectStatus;
    if (!success || dialect.signature.empty())
        return {};
    if (fieldValue(head.fields, dialect.signature).empty())
        return { AnswerVerdict::Unsound, "a success without the target's signature" };
    if (!fieldValue(head.fields, "Content-Encoding").empty())
        return { AnswerVerdict::Unsound, "a success in an encoding that nobody asked for" };
    return {};
}

} // namespace tarragonhaven
