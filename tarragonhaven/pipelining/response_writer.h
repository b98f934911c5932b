#pragma once

#include "tarragonhaven/message_head.h"
#include "tarragonhaven/pipelining/caller_connection.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace tarragonhaven {

// Writes responses to one caller's connection, one part at a time. Each handler runs once with whether the
// part was written, never inside the call, or is dropped if the session ends before.
class ResponseWriter : public std::enable_shared_from_this<ResponseWriter> {
public:
    using Handler = std::function<void(bool written)>;
    using Refused = boost::beast::http::response<boost::beast::http::string_body>;

    explicit ResponseWriter(std::shared_ptr<CallerConnection> connection);

    // Fields that a node adds to a target's response.
    struct AddedFields {
        std::string requestId;
        // Empty if the response offers no key.
        std::string nextIdempotencyKey;
        bool keepAlive = true;
    };

    // Returns whether a part is being written; the next one must wait for its handler.
    [[nodiscard]] bool busy() const { return m_busy; }
    void writeHead(const ResponseHead& head, const AddedFields& added, Handler handler);
    // Writes a part of the body that the latest head announced.
    void writeChunk(BodyChunk chunk, Handler handler);
    void writeRefusal(Refused response, Handler handler);
    // Writes the interim response that asks for the body of a request.
    void writeContinue(Handler handler);

private:
    using Response = boost::beast::http::response<boost::beast::http::buffer_body>;

    void begin();
    void finish(boost::beast::error_code error, const Handler& handler);

    std::shared_ptr<CallerConnection> m_connection;
    std::optional<Response> m_response;
    std::optional<boost::beast::http::response_serializer<boost::beast::http::buffer_body>> m_serializer;
    std::optional<Refused> m_refusal;
    BodyChunk m_chunk;
    std::size_t m_countedBytes = 0;
    bool m_busy = false;
};

} // namespace tarragonhaven
