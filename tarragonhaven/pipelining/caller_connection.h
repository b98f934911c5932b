#pragma once

#include "tarragonhaven/body_budget.h"
#include "tarragonhaven/entry.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstddef>
#include <memory>
#include <utility>

namespace tarragonhaven {

// The connection of one caller, shared by the parts of its session.
struct CallerConnection {
    CallerConnection(Entry& sharedEntry, boost::asio::ip::tcp::socket socket, std::size_t maximumHeldBytes)
        : entry(sharedEntry)
        , stream(std::move(socket))
        , budget(std::make_shared<BodyBudget>(maximumHeldBytes, &sharedEntry.bodyBudget()))
    {
    }

    Entry& entry;
    boost::beast::tcp_stream stream;
    // Counts the memory that is held for this connection: bodies, and heads that were read ahead. Shared with
    // exchanges that outlive the session.
    std::shared_ptr<BodyBudget> budget;
    // Set by the session when it ends. Handlers that run afterwards do nothing.
    bool closed = false;
};

} // namespace tarragonhaven
