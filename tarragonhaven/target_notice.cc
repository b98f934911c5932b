#include "tarragonhaven/target_notice.h"

#include "tarragonhaven/http_fields.h"
#include "util/text.h"

#include <absl/strings/numbers.h>
#include <cmath>

namespace tarragonhaven {

namespace {

    std::string_view optionalField(const ResponseHead& head, const std::string& name)
    {
        return name.empty() ? std::string_view {} : fieldValue(head.fields, name);
    }

} // namespace

TargetNotice parseTargetNotice(const ResponseHead& head, const HeaderNames& headerNames)
{
    TargetNotice notice;
    const auto limit = optionalField(head, headerNames.requestLimit);
    double requestsPerSecond = 0;
    if (!limit.empty()) {
        const bool valid = absl::SimpleAtod(util::toAbsl(limit), &requestsPerSecond)
            && std::isfinite(requestsPerSecond) && requestsPerSecond >= 0;
        notice.malformedLimit = !valid;
        if (valid)
            notice.requestsPerSecond = requestsPerSecond;
    }
    const auto leaving = optionalField(head, headerNames.leavingNotice);
    notice.leaving = !leaving.empty() && leaving != "0";
    return notice;
}

} // namespace tarragonhaven
