#pragma once

#include "tarragonhaven/memory/head_cost.h"
#include "tarragonhaven/memory/head_limits.h"
#include "tarragonhaven/message_head.h"

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <cstdint>

namespace tarragonhaven {

// A parser for messages from outside the fleet. A header field that is longer than Beast can store fails the
// message with http::error::header_limit; Beast's own parser throws std::length_error. A status below 100,
// which Beast accepts, fails a response with http::error::bad_status, and a field that is continued on a
// further line fails it with http::error::bad_field (RFC 9112, section 5.2): a line that begins with a blank
// would become a part of the field before it. Fields of a trailer are dropped, whatever their size: they are
// not forwarded, and Beast would add them to the header, which has been used by then. The sizes of whole
// headers, bodies and buffers are limited by the settings of the base class; limitFields() limits the number
// of fields and their memory, which is a multiple of their size if the fields are short.
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
        if (!IsRequest && isFolded(nameText, value)) {
            error = boost::beast::http::error::bad_field;
            return;
        }
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

    // Beast passes a value as a part of its line, behind the name. It joins the lines of a folded value in a
    // copy, or skips the first line if there is nothing on it.
    static bool isFolded(boost::beast::string_view name, boost::beast::string_view value)
    {
        const auto* nameEnd = name.data() + name.size();
        const auto distance
            = reinterpret_cast<std::uintptr_t>(value.data()) - reinterpret_cast<std::uintptr_t>(nameEnd);
        if (distance > maximumFieldBytes)
            return true;
        return std::find(nameEnd, value.data(), '\n') != value.data();
    }

    static constexpr unsigned lowestStatus = 100;
    HeadLimits m_limits = HeadLimits::none();
    std::size_t m_fields = 0;
    std::size_t m_memoryBytes = 0;
};

} // namespace tarragonhaven
