#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace tarragonhaven {

// Decides for the requests of one connection which of them may start, which response is written, whether one
// more request may be read, and which response announces that the connection closes. Does no I/O: its owner
// reports what has happened and carries out the decisions.
//
// Requests are numbered in the order in which they were read. The first one that is not answered is at the
// front; its response is the only one that may be written. A request starts when it is at the front, or
// earlier if it may run twice, has been read completely, and every request before it may run twice as well.
class RequestPipeline {
public:
    using Number = std::uint64_t;

    struct Traits {
        // Whether the request may run twice. If not, it starts only at the front, and no request behind it
        // starts before it is answered.
        bool idempotent = false;
        // Whether the request has been read with its body.
        bool complete = false;
    };

    explicit RequestPipeline(std::size_t maximumRequests);

    // Returns whether one more request may be read.
    [[nodiscard]] bool mayRead() const;
    // Adds a request, which may run once only until classify() is called for it.
    Number add();
    void classify(Number number, Traits traits);
    // Returns the next request that is to be started now, and counts it as started.
    std::optional<Number> takeStartable();
    // Takes back the start of a request. It is returned by takeStartable() again when it is at the front.
    void postpone(Number number);
    // Removes the request at the front, whose response has been written.
    void finishFront();

    // No request is read any more. Those that were read are answered.
    void endReading() { m_readingEnded = true; }
    // As endReading(), but one more request is read if there is none, so that its response can announce that
    // the connection closes.
    void stop() { m_stopping = true; }
    // The response to a request closes the connection. Removes the requests behind it, which count as not
    // read, and returns them.
    std::vector<Number> closeAfter(Number number);

    [[nodiscard]] bool isFront(Number number) const;
    [[nodiscard]] bool isLast(Number number) const;
    // Returns whether the connection closes after the response at the front. The answer does not change back
    // once it is true.
    [[nodiscard]] bool closesAfterFront() const;
    // Returns whether no request remains and none is read any more.
    [[nodiscard]] bool done() const { return m_readingEnded && m_requests.empty(); }
    [[nodiscard]] std::size_t size() const { return m_requests.size(); }
    [[nodiscard]] bool empty() const { return m_requests.empty(); }

private:
    struct Request {
        Traits traits;
        bool started = false;
    };

    Request* find(Number number);
    [[nodiscard]] Number endNumber() const { return m_frontNumber + m_requests.size(); }

    std::size_t m_maximumRequests;
    std::deque<Request> m_requests;
    Number m_frontNumber = 0;
    bool m_readingEnded = false;
    bool m_stopping = false;
};

} // namespace tarragonhaven
