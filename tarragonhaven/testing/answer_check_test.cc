#include "tarragonhaven/answer_check.h"

#include <catch2/catch.hpp>

using namespace tarragonhaven;

namespace {

HeaderNames dialect()
{
    HeaderNames dialect;
    dialect.requestId = "Request-Id";
    dialect.notRun = "Not-Run";
    dialect.signature = "Signature";
    dialect.expectedTarget = "Expected";
    return dialect;
}

ResponseHead head(int status, std::vector<HeaderField> fields)
{
    return { status, std::move(fields), false, 0 };
}

} // namespace

TEST_CASE("an answer is judged by its id, its word that nothing ran, and its signature")
{
    struct Row {
        ResponseHead answer;
        AnswerVerdict verdict;
    };
    const std::vector<Row> rows {
        { head(200, { { "request-id", "r1" }, { "Signature", "s" } }), AnswerVerdict::Sound },
        { head(500, { { "Request-Id", "r1" } }), AnswerVerdict::Sound },
        { head(200, { { "Request-Id", "r0" }, { "Signature", "s" } }), AnswerVerdict::Foreign },
        { head(503, { { "Request-Id", "r0" }, { "Not-Run", "1" } }), AnswerVerdict::Foreign },
        { head(503, { { "Request-Id", "r1" }, { "Not-Run", "1" } }), AnswerVerdict::NotRun },
        { head(503, { { "Not-Run", "1" } }), AnswerVerdict::NotRun },
        { head(421, {}), AnswerVerdict::NotRun },
        { head(503, { { "Request-Id", "r1" } }), AnswerVerdict::Sound },
        { head(200, { { "Signature", "s" } }), AnswerVerdict::Unsound },
        { head(200, { { "Request-Id", "r1" } }), AnswerVerdict::Unsound },
        { head(200, { { "Request-Id", "r1" }, { "Signature", "s" }, { "Content-Encoding", "gzip" } }),
            AnswerVerdict::Unsound },
    };
    for (const auto& row : rows) {
        CAPTURE(row.answer.status, row.answer.fields.size());
        CHECK(judgeAnswer(row.answer, "r1", dialect()).verdict == row.verdict);
    }
}

TEST_CASE("a dialect without fields takes every answer as it comes")
{
    CHECK(judgeAnswer(head(200, {}), "r1", {}).verdict == AnswerVerdict::Sound);
    CHECK(judgeAnswer(head(421, {}), "r1", {}).verdict == AnswerVerdict::Sound);
}
