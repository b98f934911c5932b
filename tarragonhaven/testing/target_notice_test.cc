#include "tarragonhaven/target_notice.h"

#include <catch2/catch.hpp>

using namespace tarragonhaven;

namespace {

HeaderNames headerNames()
{
    HeaderNames names;
    names.requestLimit = "Limit";
    names.leavingNotice = "Leaving";
    return names;
}

TargetNotice parse(std::vector<HeaderField> fields, const HeaderNames& names = headerNames())
{
    return parseTargetNotice({ 200, std::move(fields), false, 0 }, names);
}

} // namespace

TEST_CASE("the notice of a target is parsed from the header fields of its response")
{
    CHECK(parse({}) == TargetNotice {});
    CHECK(parse({ { "limit", "2.5" } }) == TargetNotice { 2.5, false, false });
    CHECK(parse({ { "Limit", "0" } }) == TargetNotice { 0.0, false, false });
    CHECK(parse({ { "Leaving", "1" } }) == TargetNotice { std::nullopt, false, true });
    CHECK(parse({ { "Leaving", "0" }, { "Limit", "10" } }) == TargetNotice { 10.0, false, false });
    CHECK(parse({ { "Limit", "3" }, { "Leaving", "1" } }, HeaderNames {}) == TargetNotice {});
}

TEST_CASE("a limit that is not a non-negative decimal number is malformed")
{
    for (const auto* value : { "-1", "nan", "inf", "many", "1 per second", "1,5" }) {
        CAPTURE(value);
        CHECK(parse({ { "Limit", value } }) == TargetNotice { std::nullopt, true, false });
    }
}
