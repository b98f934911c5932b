#pragma once

#include "tarragonhaven/memory/memory_policy.h"
#include "tarragonhaven/pipelining/ahead_budget.h"
#include "tarragonhaven/pipelining/caller_connection.h"
#include "tarragonhaven/pipelining/caller_request.h"
#include "tarragonhaven/pipelining/caller_session_options.h"
#include "tarragonhaven/pipelining/lingering_close.h"
#include "tarragonhaven/pipelining/request_pipeline.h"
#include "tarragonhaven/pipelining/request_reader.h"
#include "tarragonhaven/pipelining/response_size_estimate.h"
#include "tarragonhaven/pipelining/response_writer.h"

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>

namespace tarragonhaven {

// Serves one caller's connection over HTTP/1.1. Idempotent requests that the caller sends ahead start at
// once, within PipelineLimits; responses are sent in the order of the requests. A malformed request gets an
// error response, after which the connection is closed. If a response cannot be completed, the connection is
// closed before the announced end of the response, and the requests behind it are given up without a
// response. The declared CallerLimits bound the size of heads and bodies and the times that a caller may
// take.
//
// A RequestReader reads the requests, a CallerRequest handles each of them, a ResponseWriter writes the
// responses, and a RequestPipeline decides what may happen next.
class CallerSession final : public RequestReader::Listener,
                            public std::enable_shared_from_this<CallerSession> {
public:
    using EndHandler = std::function<void(const std::shared_ptr<CallerSession>&, CloseReason)>;

    CallerSession(Entry& entry, boost::asio::ip::tcp::socket socket,
        std::unique_ptr<TrackedConnection> tracked, const CallerSessionOptions& options,
        const std::shared_ptr<MemoryAccount>& account, AheadBudget& aheadBudget, EndHandler onEnd);
    ~CallerSession();
    CallerSession(const CallerSession&) = delete;
    CallerSession& operator=(const CallerSession&) = delete;

    void start();
    // Answers the requests that were read, or one more if there is none, and then closes the connection. The
    // last response announces this. Closes the connection at once if `closeIfIdle` is set and no request is
    // in progress.
    void stop(bool closeIfIdle);
    // Refuses the requests in progress whose responses have not begun.
    void abandonRequests();
    void close();
    // Closes the connection to free the memory that is held for it.
    void closeForMemory();
    // Returns what is held for the connection.
    [[nodiscard]] ConnectionUse use() const;
    // Returns whether a request is being read or executed, or its response may not have been received.
    [[nodiscard]] bool busy() const;

    // Called by the reader.
    void onHead(ReceivedHead received) override;
    void onBodyTimeout() override;
    void onReadingEnded(CloseReason reason) override;

    // Called by the requests.
    [[nodiscard]] CallerConnection& connection() { return *m_connection; }
    [[nodiscard]] RequestReader& reader() { return *m_reader; }
    [[nodiscard]] ResponseWriter& writer() { return *m_writer; }
    [[nodiscard]] RequestPipeline& pipeline() { return m_pipeline; }
    // Counts a request that is to be started ahead of its turn, if the limits allow it, and reserves memory
    // for its response. Returns the number of bytes, or 0 if the request must wait.
    std::size_t reserveAhead(const OrganisationName& organisation);
    void releaseAhead(const OrganisationName& organisation, std::size_t bytes);
    [[nodiscard]] ResponseSizeEstimate& responseSize() { return m_responseSize; }
    // Returns the id of the request whose response is written now or next.
    [[nodiscard]] std::string frontRequestId() const;
    // Returns whether more memory may be held for requests and responses whose turn has not come.
    [[nodiscard]] bool mayHoldMore() const;
    // Starts, writes and reads what may be started, written and read now.
    void proceed();
    // Records what the session waits for. To be called when that may have changed.
    void updateStage();
    // Records that a part of a body has arrived or was written.
    void recordProgress();
    // The response to a request closes the connection. Gives up the requests behind it.
    void closeAfter(RequestPipeline::Number number);
    // The body of a request that was read ahead cannot be read. The request gets no response, and the
    // connection is closed after the response to the request before it.
    void rejectUnread(RequestPipeline::Number number);
    // The response at the front has been written.
    void onAnswered(bool closeAnnounced);
    // Gives up all requests and closes the connection. If the caller may still be sending after the last
    // response, it gets a moment to read that. The only place where the connection is closed.
    void end(CloseReason reason);

private:
    // Closes the connection at once, also if it is lingering.
    void closeAtOnce(CloseReason reason);
    [[nodiscard]] ConnectionStage stage() const;
    [[nodiscard]] bool mayReadHead() const;
    [[nodiscard]] RequestPipeline::Traits traitsOf(const ReceivedHead& received) const;
    void startRequests();
    std::shared_ptr<CallerRequest> find(RequestPipeline::Number number) const;

    std::shared_ptr<CallerConnection> m_connection;
    AheadBudget& m_aheadBudget;
    EndHandler m_onEnd;
    RequestPipeline m_pipeline;
    ResponseSizeEstimate m_responseSize;
    std::size_t m_maximumHeldBytes;
    std::size_t m_reservedBytes = 0;
    std::shared_ptr<RequestReader> m_reader;
    std::shared_ptr<ResponseWriter> m_writer;
    std::deque<std::shared_ptr<CallerRequest>> m_requests;
    std::shared_ptr<LingeringClose> m_lingeringClose;
    // Whether a response was written completely.
    bool m_answered = false;
    bool m_proceeding = false;
    bool m_proceedAgain = false;
};

} // namespace tarragonhaven
