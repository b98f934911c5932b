// The memory of four nodes while bodies in chunks of one byte cross two of them: uploads and responses, with
// a reader that takes them and one that does not. See client_flood_test.cc.

#include "tarragonhaven/testing/client_flood_check.h"

using namespace tarragonhaven::testing;

namespace {

constexpr auto minimumTime = std::chrono::milliseconds(3000);
constexpr FloodBounds fewCallers { floodFewCallers, floodFewCallersKb, minimumTime };
constexpr FloodBounds manyCallers { floodCallers, floodCallersKb, minimumTime };

// More than a flood can send, so that uploads end with the flood only.
constexpr std::size_t bodyLimitBytes = 67'108'864;

void checkUploads(TinyChunkAnswer answer, const FloodBounds& bounds)
{
    FloodFleet fleet({ .nodes = 4, .bodyLimitBytes = bodyLimitBytes, .tinyChunks = answer });
    auto pattern = unfinishedBody(FloodFleet::uploadPath(), BodyPieces::OneByteChunks);
    pattern.repetitions *= bodyLimitBytes / floodBodyLimitBytes;
    checkFlood(fleet, FloodFleet::callerAddress(), pattern, bounds);
}

void checkResponses(FloodPattern::Reading reading, const FloodBounds& bounds)
{
    FloodFleet fleet({ .nodes = 4, .tinyChunks = TinyChunkAnswer::EndlessResponse });
    auto pattern = requestsSentAhead(FloodFleet::idempotentPath());
    pattern.repetitions = 1;
    pattern.reading = reading;
    checkFlood(fleet, FloodFleet::callerAddress(), pattern, bounds);
}

} // namespace

// Guards against a cost of each chunk that is many times its size, at the node that reads the body and at the
// one to which it is forwarded, and against a slow reader whose writer is not stalled.

TEST_CASE("tiny chunks: uploads of 6 callers to targets that read them", "[net][flood]")
{
    checkUploads(TinyChunkAnswer::ReadOnly, fewCallers);
}

TEST_CASE("tiny chunks: uploads of 6 callers to targets that do not read them", "[net][flood]")
{
    checkUploads(TinyChunkAnswer::Silence, fewCallers);
}

TEST_CASE("tiny chunks: uploads of 60 callers to targets that read them", "[net][flood]")
{
    checkUploads(TinyChunkAnswer::ReadOnly, manyCallers);
}

TEST_CASE("tiny chunks: uploads of 60 callers to targets that do not read them", "[net][flood]")
{
    checkUploads(TinyChunkAnswer::Silence, manyCallers);
}

TEST_CASE("tiny chunks: responses to 6 callers that read them", "[net][flood]")
{
    checkResponses(FloodPattern::Reading::Everything, fewCallers);
}

TEST_CASE("tiny chunks: responses to 6 callers that do not read them", "[net][flood]")
{
    checkResponses(FloodPattern::Reading::Nothing, fewCallers);
}

TEST_CASE("tiny chunks: responses to 60 callers that read them", "[net][flood]")
{
    checkResponses(FloodPattern::Reading::Everything, manyCallers);
}

TEST_CASE("tiny chunks: responses to 60 callers that do not read them", "[net][flood]")
{
    checkResponses(FloodPattern::Reading::Nothing, manyCallers);
}
