#pragma once

#include "tarragonhaven/body_budget.h"
#include "tarragonhaven/entry.h"
#include "tarragonhaven/memory/tracked_connection.h"
#include "tarragonhaven/pipelining/caller_session_options.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstddef>
#include <memory>
#include <utility>

namespace tarragonhaven {

// The connection of one caller, shared by the parts of its session.
struct CallerConnection {
    CallerConnection(Entry& sharedEntry, boost::asio::ip::tcp::socket socket,
        std::unique_ptr<TrackedConnection> trackedConnection, const CallerSessionOptions& sessionOptions)
        : entry(sharedEntry)
        , stream(std::move(socket))
        , tracked(std::move(trackedConnection))
        , options(sessionOptions)
        , budget(std::make_shared<BodyBudget>(sessionOptions.pipeline.heldBytes, &sharedEntry.bodyBudget()))
    {
    }

    Entry& entry;
    boost::beast::tcp_stream stream;
    std::unique_ptr<TrackedConnection> tracked;
    CallerSessionOptions options;
    // Counts the memory that is held for this connection: bodies, and heads that were read ahead. Shared with
    // exchanges that outlive the session.
    std::shared_ptr<BodyBudget> budget;
    // Set by the session when it ends. Handlers that run afterwards do nothing.
    bool closed = false;
};

} // namespace tarragonhaven
