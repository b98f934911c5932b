#pragma once

#include "tarragonhaven/body_buffer.h"
#include "tarragonhaven/entry_exchange.h"
#include "tarragonhaven/pipelining/pending_response.h"
#include "tarragonhaven/pipelining/received_head.h"
#include "tarragonhaven/pipelining/request_pipeline.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace tarragonhaven {

class CallerSession;

// One request of a caller, from its head until its response has been written. It is the requester of a relay
// with an exchange of its own. At the front of its session, bodies are passed on as they arrive and parts of
// the response are written as they arrive. Before, the response is kept in memory up to the bound of the
// connection; beyond it, no more is read from the target.
class CallerRequest : public std::enable_shared_from_this<CallerRequest> {
public:
    // `headBytes` is the memory to count for the request and its head, `ahead` whether it is read ahead.
    CallerRequest(std::shared_ptr<CallerSession> session, RequestPipeline::Number number,
        ReceivedHead received, std::size_t headBytes, bool ahead);
    ~CallerRequest();
    CallerRequest(const CallerRequest&) = delete;
    CallerRequest& operator=(const CallerRequest&) = delete;

    [[nodiscard]] RequestPipeline::Number number() const { return m_number; }
    [[nodiscard]] const std::string& requestId() const { return m_requestId; }

    // Reads a small body before the request may start. The session is told once the body is complete or too
    // large for that.
    void readAhead();
    void begin();
    // Writes the next part of the response, if one has arrived. To be called at the front only.
    void write();
    // Refuses the request, unless its response has arrived. `reasonIfNotRun` is the reason if no target can
    // have run it.
    void abandon(RefusalReason reasonIfNotRun, const char* detail);
    // The caller sends the body too slowly. Refuses the request if no target has received a part of it, and
    // otherwise ends the session.
    void onBodyTimeout();
    // Gives up the request without a response.
    void cancel();
    // Releases what the request holds, after its response has been written.
    void end();
    void logCallerDisconnected() const;

    // The Downstream interface, called by the relay.
    void readBody(std::function<void(bool, BodyChunk)> handler);
    void onOpened(std::function<void(bool)> handler);
    void writeHead(const ResponseHead& head, std::function<void(bool)> handler);
    void writeBody(BodyChunk chunk, std::function<void(bool)> handler);
    void refuse(const Refusal& refusal);
    void abort(const Refusal& refusal);
    void finish();

private:
    [[nodiscard]] Entry& entry() const;
    // Returns whether the request was refused because of the memory that is held for callers.
    bool refusedForMemory();
    // Returns whether the request was accepted; otherwise it has been refused or postponed.
    bool accept();
    [[nodiscard]] std::string offeredIdempotencyKey(RequestHead head) const;
    bool acquireAhead();
    void releaseAhead();
    void prefetch();
    void onPrefetched();
    void beginExchange();
    void startDeadlineTimer(util::Time deadline);
    void onDeadline();
    // Reads a part of the body from the connection. The session ends if that fails.
    void readChunk(std::function<void(BodyChunk)> handler);
    // Calls the handler of the relay, now or when all that has arrived of the response has been written.
    void continueWhenWritten(std::function<void(bool)> handler);
    // Determines whether the connection closes after the response, whose head is about to be written.
    void announceClose(bool closes);
    void writeRefusal();
    void writeResponseHead();
    void writeChunk();
    void onWritten(bool written);
    // Reads and discards the rest of a refused request's body, so that the next request can be read after it.
    void discardBody();

    std::shared_ptr<CallerSession> m_session;
    RequestPipeline::Number m_number;
    ReceivedHead m_received;
    // Whether the head is kept, so that the request can be accepted anew at its turn.
    bool m_keepsHead;
    std::size_t m_headBytes;
    std::string m_requestId;
    bool m_headOnly;
    OrganisationName m_organisation;
    std::string m_keyDigest;
    std::string m_offeredKey;
    // The request from its acceptance until its exchange begins, and the part of its body that was read
    // before then.
    std::optional<AcceptedRequest> m_accepted;
    BodyBuffer m_prefetchedBody;
    std::shared_ptr<EntryExchange> m_exchange;
    PendingResponse m_response;
    // Called when everything that has arrived of the response has been written.
    std::function<void(bool)> m_onWritten;
    boost::asio::steady_timer m_deadlineTimer;
    std::size_t m_discardedBytes = 0;
    // The memory that is reserved for the response, if the request was started ahead of its turn, and the
    // bytes of the response that have arrived.
    std::size_t m_reservedBytes = 0;
    std::size_t m_responseBytes = 0;
    bool m_bodyRemaining;
    bool m_idempotencyKeyRequired = false;
    bool m_begun = false;
    bool m_prefetching = false;
    bool m_prefetched = false;
    bool m_closesAfterResponse = false;
    bool m_closeAnnounced = false;
    bool m_ended = false;
};

} // namespace tarragonhaven
