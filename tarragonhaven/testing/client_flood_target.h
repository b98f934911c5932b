#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/header_names.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace tarragonhaven::testing {

// What a TinyChunkTarget does with a request whose path contains "flood". It answers all others at once with
// status 200 and a body of two bytes.
enum class TinyChunkAnswer {
    // Responds with status 200 and chunks of one byte, without end.
    EndlessResponse,
    // Reads the body for ever and does not respond.
    ReadOnly,
    // Neither reads the body nor responds.
    Silence,
};

// A target for bodies that are sent in chunks of one byte. It holds one buffer for each connection and no
// body. Use it only on the thread of its io_context.
class TinyChunkTarget {
public:
    // Throws boost::system::system_error if it cannot listen on the address. Responses repeat the field
    // `requestId` of the request, and have the name of the target as `signature`.
    TinyChunkTarget(boost::asio::io_context& io, const Endpoint& address, std::string name,
        const HeaderNames& headerNames, TinyChunkAnswer answer);
    ~TinyChunkTarget();
    TinyChunkTarget(const TinyChunkTarget&) = delete;
    TinyChunkTarget& operator=(const TinyChunkTarget&) = delete;

private:
    class Rep;
    class Session;
    std::shared_ptr<Rep> m_rep;
};

} // namespace tarragonhaven::testing
