#include "tarragonhaven/response_head.h"

#include "tarragonhaven/http_fields.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <string>
#include <string_view>

namespace tarragonhaven {

namespace {

    namespace http = boost::beast::http;
    using ParsedHead = http::response_header<http::fields>;

    constexpr int noContentStatus = 204;
    constexpr int notModifiedStatus = 304;

} // namespace

ResponseHead toResponseHead(const ParsedHead& parsed, ResponseFraming framing)
{
    ResponseHead head;
    head.status = static_cast<int>(parsed.result_int());
    const auto connection = parsed[http::field::connection];
    const std::string_view connectionValue(connection.data(), connection.size());
    for (const auto& field : parsed) {
        const std::string name(field.name_string());
        if (!isHopByHop(name, connectionValue))
            head.fields.push_back({ name, std::string(field.value()) });
    }
    head.contentLength = framing.contentLength ? static_cast<std::int64_t>(*framing.contentLength) : -1;
    const bool bodiless
        = framing.toHeadRequest || head.status == noContentStatus || head.status == notModifiedStatus;
    head.hasBody = !bodiless && (framing.chunked || head.contentLength != 0);
    return head;
}

std::optional<util::Duration> keepAliveTime(const ParsedHead& parsed)
{
    std::optional<util::Duration> time;
    const auto value = parsed[http::field::keep_alive];
    for (const auto part : absl::StrSplit(absl::string_view(value.data(), value.size()), ',')) {
        auto item = absl::StripAsciiWhitespace(part);
        int seconds = 0;
        if (absl::ConsumePrefix(&item, "timeout=") && absl::SimpleAtoi(item, &seconds))
            time = std::chrono::seconds(seconds);
    }
    return time;
}

} // namespace tarragonhaven
