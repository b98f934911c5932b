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
        std::unique_ptr<TrackedConnection> trackedConnection, const CallerSessionOptions& sessionOptions,
        const std::shared_ptr<MemoryAccount>& account)
        : entry(sharedEntry)
        , stream(std::move(socket))
        , tracked(std::move(trackedConnection))
        , options(sessionOptions)
        , memory(std::make_shared<ConnectionMemory>(account))
        , budget(std::make_shared<BodyBudget>(
              sessionOptions.pipeline.heldBytes, &sharedEntry.bodyBudget(), memory))
    {
    }

    Entry& entry;
    boost::beast::tcp_stream stream;
    std::unique_ptr<TrackedConnection> tracked;
    CallerSessionOptions options;
    // Counts all memory that is held for this connection.
    std::shared_ptr<ConnectionMemory> memory;
    // Counts and limits the part of it that may be kept for long: bodies, and heads that were read ahead.
    // Shared with exchanges that outlive the session.
    std::shared_ptr<BodyBudget> budget;
    // Set by the session when it ends. Handlers that run afterwards do nothing.
    bool closed = false;
};

} // namespace tarragonhaven
