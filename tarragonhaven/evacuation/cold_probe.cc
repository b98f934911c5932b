#include "tarragonhaven/evacuation/cold_probe.h"

#include "tarragonhaven/evacuation/cold_state.h"
#include "tarragonhaven/http_fields.h"
#include "util/text.h"

#include <absl/strings/numbers.h>
#include <utility>

namespace tarragonhaven {

namespace {

    constexpr util::Duration connectTimeout = std::chrono::milliseconds(200);
    constexpr int okStatus = 200;
    // Longer than any target is cold, and far from the limits of the clock.
    constexpr std::chrono::milliseconds maximumRemaining = std::chrono::hours(24);

} // namespace

std::optional<util::Duration> coldRemainingOf(const GetResult& response, const std::string& fieldName)
{
    if (!response || response->status != okStatus || fieldName.empty())
        return std::nullopt;
    std::int64_t milliseconds = 0;
    if (!absl::SimpleAtoi(util::toAbsl(fieldValue(response->fields, fieldName)), &milliseconds)
        || milliseconds < 0 || milliseconds > maximumRemaining.count())
        return std::nullopt;
    return std::chrono::milliseconds(milliseconds);
}

void probeCold(boost::asio::io_context& io, const Endpoint& target, const std::string& healthPath,
    const std::string& fieldName, std::function<void(std::optional<util::Duration>)> handler)
{
    httpGet(io, target, healthPath,
        { ColdState::maximumProbeAge, connectTimeout, ColdState::maximumProbeAge },
        [fieldName, handler = std::move(handler)](
            const GetResult& response) { handler(coldRemainingOf(response, fieldName)); });
}

} // namespace tarragonhaven
