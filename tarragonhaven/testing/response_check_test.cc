#include "tarragonhaven/response_check.h"

#include <catch2/catch.hpp>
#include <optional>
#include <vector>

using namespace tarragonhaven;

namespace {

HeaderNames headerNames()
{
    HeaderNames headerNames;
    headerNames.requestId = "Request-Id";
    headerNames.notRun = "Not-Run";
    headerNames.signature = "Signature";
    headerNames.expectedTarget = "Expected";
    return headerNames;
}

ResponseHead head(int status, std::vector<HeaderField> fields)
{
    return { status, std::move(fields), false, 0 };
}

} // namespace

TEST_CASE("a response is checked by its request id, its report of not having run, and its signature")
{
    struct Row {
        ResponseHead response;
        ResponseVerdict verdict;
        // The verdict on a connection on which the target has responded before.
        std::optional<ResponseVerdict> verdictIfReused = std::nullopt;
    };
    const std::vector<Row> rows {
        { head(200, { { "request-id", "r1" }, { "Signature", "s" } }), ResponseVerdict::Valid },
        { head(500, { { "Request-Id", "r1" } }), ResponseVerdict::Valid },
        { head(200, { { "Request-Id", "r0" }, { "Signature", "s" } }), ResponseVerdict::Mismatched },
        { head(503, { { "Request-Id", "r0" }, { "Not-Run", "1" } }), ResponseVerdict::Mismatched },
        { head(503, { { "Request-Id", "r1" }, { "Not-Run", "1" } }), ResponseVerdict::NotRun },
        { head(503, { { "Not-Run", "1" } }), ResponseVerdict::NotRun, ResponseVerdict::Invalid },
        { head(421, {}), ResponseVerdict::NotRun, ResponseVerdict::Invalid },
        { head(421, { { "Request-Id", "r1" } }), ResponseVerdict::NotRun },
        { head(503, { { "Request-Id", "r1" } }), ResponseVerdict::Valid },
        { head(200, { { "Signature", "s" } }), ResponseVerdict::Invalid },
        { head(200, { { "Request-Id", "r1" } }), ResponseVerdict::Invalid },
        { head(200, { { "Request-Id", "r1" }, { "Signature", "s" }, { "Content-Encoding", "gzip" } }),
            ResponseVerdict::Invalid },
    };
    for (const auto& row : rows) {
        CAPTURE(row.response.status, row.response.fields.size());
        CHECK(checkResponse(row.response, "r1", headerNames(), ConnectionUse::First).verdict == row.verdict);
        CHECK(checkResponse(row.response, "r1", headerNames(), ConnectionUse::Reused).verdict
            == row.verdictIfReused.value_or(row.verdict));
    }
}

TEST_CASE("without configured header fields every response is valid")
{
    CHECK(checkResponse(head(200, {}), "r1", {}, ConnectionUse::Reused).verdict == ResponseVerdict::Valid);
    CHECK(checkResponse(head(421, {}), "r1", {}, ConnectionUse::Reused).verdict == ResponseVerdict::Valid);
}
