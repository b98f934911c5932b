#pragma once

#include "tarragonhaven/testing/client_flood.h"

#include <cstddef>
#include <string>

namespace tarragonhaven::testing {

// Limits that the declaration of a flooded fleet sets. The page of requirements has 16,384 bytes for a head,
// 67,108,864 for a body, 3 s and 15 s; a body is smaller here and the times shorter, so that a test is short.
inline constexpr std::size_t floodHeadLimitBytes = 16'384;
inline constexpr std::size_t floodBodyLimitBytes = 1'048'576;
inline constexpr int floodHeadTimeoutMs = 1000;
inline constexpr int floodIdleTimeoutMs = 2000;

// A path of a flooded node, with the lines of the header that its requests need there, each ended by CRLF.
struct FloodPath {
    std::string path;
    std::string headerLines;
};

// How a body is cut up on the connection.
enum class BodyPieces {
    One,
    // Writes of 1,000 bytes.
    Small,
    // Chunks of one byte in the encoding "chunked".
    OneByteChunks,
};

// The patterns of abusive callers that the page of requirements names.

// A body of legal size that stops just short of its end.
FloodPattern unfinishedBody(const FloodPath& at, BodyPieces pieces);
// A body of 16 times the limit, in the encoding "chunked", so that its length is not announced.
FloodPattern oversizedBody(const FloodPath& at);
// A request with a head of legal size that consists of as many fields as fit, and a body that stops short.
FloodPattern manyShortFields(const FloodPath& at);
// 3,000 requests that are sent ahead while no response is read.
FloodPattern requestsSentAhead(const FloodPath& at);
// A head of which one byte arrives every 100 ms, for ever.
FloodPattern slowHead(const FloodPath& at);
// A body of which one byte arrives every 100 ms, for ever.
FloodPattern slowBody(const FloodPath& at);
// 300 requests whose responses are read one byte at a time.
FloodPattern slowReader(const FloodPath& at);
// A head that stops half-way.
FloodPattern halfHead(const FloodPath& at);

} // namespace tarragonhaven::testing
