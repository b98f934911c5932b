#include "tarragonhaven/testing/client_flood_patterns.h"

#include <absl/strings/str_cat.h>
#include <limits>

namespace tarragonhaven::testing {

namespace {

    constexpr std::size_t forEver = std::numeric_limits<std::size_t>::max();
    constexpr auto dripInterval = std::chrono::milliseconds(100);
    constexpr std::size_t pieceBytes = 1000;
    constexpr std::size_t chunkBytes = 65'536;
    constexpr std::size_t oversizeFactor = 16;
    constexpr std::size_t requestsAhead = 3000;
    constexpr std::size_t slowlyReadRequests = 300;

    std::string headOf(const std::string& method, const FloodPath& at, const std::string& lines)
    {
        return absl::StrCat(method, " ", at.path, " HTTP/1.1\r\n", at.headerLines, lines);
    }

    std::string uploadHead(const FloodPath& at, std::size_t length)
    {
        return headOf("POST", at, absl::StrCat("Content-Length: ", length, "\r\n\r\n"));
    }

    std::string chunkedHead(const FloodPath& at)
    {
        return headOf("POST", at, "Transfer-Encoding: chunked\r\n\r\n");
    }

    std::string repeat(const std::string& text, std::size_t count)
    {
        std::string result;
        result.reserve(text.size() * count);
        for (std::size_t i = 0; i < count; ++i)
            result += text;
        return result;
    }

    FloodPattern sendAhead(const FloodPath& at, std::size_t requests, FloodPattern::Reading reading)
    {
        FloodPattern pattern;
        pattern.repeated = headOf("GET", at, "\r\n");
        pattern.repetitions = requests;
        pattern.reading = reading;
        return pattern;
    }

} // namespace

FloodPattern unfinishedBody(const FloodPath& at, BodyPieces pieces)
{
    FloodPattern pattern;
    switch (pieces) {
    case BodyPieces::One:
        pattern.beginning = uploadHead(at, floodBodyLimitBytes) + std::string(floodBodyLimitBytes - 1, 'x');
        break;
    case BodyPieces::Small:
        pattern.beginning = uploadHead(at, floodBodyLimitBytes);
        pattern.repeated = std::string(pieceBytes, 'x');
        pattern.repetitions = (floodBodyLimitBytes - 1) / pieceBytes;
        break;
    case BodyPieces::OneByteChunks:
        pattern.beginning = chunkedHead(at);
        pattern.repeated = repeat("1\r\nx\r\n", pieceBytes);
        pattern.repetitions = (floodBodyLimitBytes - 1) / pieceBytes;
        break;
    }
    return pattern;
}

FloodPattern oversizedBody(const FloodPath& at)
{
    FloodPattern pattern;
    pattern.beginning = chunkedHead(at);
    pattern.repeated = absl::StrCat(absl::Hex(chunkBytes), "\r\n", std::string(chunkBytes, 'x'), "\r\n");
    pattern.repetitions = oversizeFactor * floodBodyLimitBytes / chunkBytes;
    return pattern;
}

FloodPattern manyShortFields(const FloodPath& at)
{
    const std::string field = "a:\r\n";
    const std::string end = "Content-Length: 2\r\n\r\n";
    const auto used = headOf("POST", at, end).size();
    FloodPattern pattern;
    pattern.beginning
        = headOf("POST", at, repeat(field, (floodHeadLimitBytes - used) / field.size()) + end) + "x";
    return pattern;
}

FloodPattern requestsSentAhead(const FloodPath& at)
{
    return sendAhead(at, requestsAhead, FloodPattern::Reading::Nothing);
}

FloodPattern slowHead(const FloodPath& at)
{
    FloodPattern pattern;
    pattern.beginning = headOf("GET", at, "X-Slow: ");
    pattern.repeated = "x";
    pattern.repetitions = forEver;
    pattern.interval = dripInterval;
    return pattern;
}

FloodPattern slowBody(const FloodPath& at)
{
    FloodPattern pattern;
    pattern.beginning = uploadHead(at, floodBodyLimitBytes);
    pattern.repeated = "x";
    pattern.repetitions = forEver;
    pattern.interval = dripInterval;
    return pattern;
}

FloodPattern slowReader(const FloodPath& at)
{
    return sendAhead(at, slowlyReadRequests, FloodPattern::Reading::Slowly);
}

FloodPattern halfHead(const FloodPath& at)
{
    FloodPattern pattern;
    pattern.beginning = headOf("GET", at, "X-Half: ");
    return pattern;
}

} // namespace tarragonhaven::testing
