#pragma once

#include "tarragonhaven/memory/head_cost.h"
#include "tarragonhaven/memory/head_limits.h"
#include "tarragonhaven/message_head.h"

#include <boost/beast/http/parser.hpp>

namespace tarragonhaven {

// A parser for messages from outside the fleet. A header field that is longer than Beast can store fails the
// message with http::error::header_limit; Beast's own parser throws std::length_error. A status below 100,
// which Beast accepts, fails a response with http::error::bad_status. Fields of a trailer are dropped,
// whatever their size: they are not forwarded, and Beast would add them to the header, which has been used by
// then. The sizes of whole headers, bodies and buffers are limited by the settings of the base class;
// limitFields() limits the number of fields and their memory, which is a multiple of their size if the fields
// are short.
template <bool IsRequest, class Body>
class MessageParser : public boost::beast::http::parser<IsRequest, Body> {
public:
    // Fails a message whose header exceeds the limits with http::error::header_limit. Without this call there
    // is no limit on either.
    void limitFields(const HeadLimits& limits) { m_limits = limits; }

private:
    void on_field_impl(boost::beast::http::field name, boost::beast::string_view nameText,
        boost::beast::string_view value, boost::beast::error_code& error) override
    {
        if (this->is_header_done())
            return;
        m_memoryBytes += fieldCost(nameText.size(), value.size());
        const bool tooMany = ++m_fields > m_limits.fields || m_memoryBytes > m_limits.memoryBytes;
        if (tooMany || nameText.size() > maximumFieldBytes || value.size() > maximumFieldBytes)
            error = boost::beast::http::error::header_limit;
        else
            this->get().insert(name, nameText, value);
    }

    void on_header_impl(boost::beast::error_code& error) override
    {
        error = {};
        if constexpr (!IsRequest) {
            if (this->get().result_int() < lowestStatus)
                error = boost::beast::http::error::bad_status;
        }
    }

    static constexpr unsigned lowestStatus = 100;
    HeadLimits m_limits = HeadLimits::none();
    std::size_t m_fields = 0;
    std::size_t m_memoryBytes = 0;
};

} // namespace tarragonhaven
