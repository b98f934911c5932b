#pragma once

#include "tarragonhaven/message_head.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <functional>
#include <utility>
#include <vector>

namespace tarragonhaven {

// Reads the body of a message from a connection, after its head. A part holds what has arrived, however small
// its chunks are, up to bodyChunkBytes; no part is empty except the last, and none waits for more to arrive.
// Takes memory only while a body is read. The objects that are passed to the constructor must outlive each
// read; the handler keeps their owner alive.
class BodyReader {
public:
    // Receives the error that ended the body, or its next part.
    using Handler = std::function<void(boost::beast::error_code, BodyChunk)>;

    BodyReader(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer)
        : m_stream(stream)
        , m_buffer(buffer)
    {
    }

    // Reads the next part, within the time that is set for the stream. `Parser` is a parser of Beast with a
    // buffer_body.
    template <typename Parser> void read(Parser& parser, Handler handler)
    {
        // Otherwise Beast reads 512 bytes at a time.
        m_buffer.reserve(bodyChunkBytes);
        m_space.resize(bodyChunkBytes);
        auto& body = parser.get().body();
        body.data = m_space.data();
        body.size = m_space.size();
        readSome(parser, std::move(handler));
    }

    // Returns the memory of the part that is being read, beside the buffer.
    [[nodiscard]] std::size_t heldBytes() const { return m_space.capacity(); }
    // Frees the memory. Bytes that have arrived after the body are kept.
    void release()
    {
        m_space = {};
        m_buffer.shrink_to_fit();
    }

private:
    template <typename Parser> void readSome(Parser& parser, Handler handler)
    {
        boost::beast::http::async_read_some(m_stream, m_buffer, parser,
            [this, &parser, handler = std::move(handler)](
                boost::beast::error_code error, std::size_t) mutable {
                if (!error || error == boost::beast::http::error::need_buffer)
                    error = parseBuffered(parser);
                if (error)
                    return handler(error, {});
                const auto length = m_space.size() - parser.get().body().size;
                // Only the size of a chunk has arrived, or a part of it.
                if (length == 0 && !parser.is_done())
                    return readSome(parser, std::move(handler));
                handler({}, { std::string(m_space.data(), length), parser.is_done() });
            });
    }

    // Parses what has arrived. Beast parses one chunk, or its size, at a time.
    template <typename Parser> boost::beast::error_code parseBuffered(Parser& parser)
    {
        namespace http = boost::beast::http;
        boost::beast::error_code error;
        while (!parser.is_done() && parser.get().body().size > 0 && m_buffer.size() > 0) {
            m_buffer.consume(parser.put(m_buffer.data(), error));
            if (error == http::error::need_more || error == http::error::need_buffer)
                return {};
            if (error)
                return error;
        }
        return {};
    }

    boost::beast::tcp_stream& m_stream;
    boost::beast::flat_buffer& m_buffer;
    std::vector<char> m_space;
};

} // namespace tarragonhaven
