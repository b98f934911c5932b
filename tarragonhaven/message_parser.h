#pragma once

#include "tarragonhaven/message_head.h"

#include <boost/beast/http/parser.hpp>

namespace tarragonhaven {

// A parser for messages from outside the fleet. A header field that is longer than Beast can store fails the
// message with http::error::header_limit; Beast's own parser throws std::length_error. Fields of a trailer
// are dropped, whatever their size: they are not forwarded, and Beast would add them to the header, which has
// been used by then. The sizes of whole headers, bodies and buffers are limited by the settings of the base
// class.
template <bool IsRequest, class Body>
class MessageParser : public boost::beast::http::parser<IsRequest, Body> {
private:
    void on_field_impl(boost::beast::http::field name, boost::beast::string_view nameText,
        boost::beast::string_view value, boost::beast::error_code& error) override
    {
        if (this->is_header_done())
            return;
        if (nameText.size() > maximumFieldBytes || value.size() > maximumFieldBytes)
            error = boost::beast::http::error::header_limit;
        else
            this->get().insert(name, nameText, value);
    }
};

} // namespace tarragonhaven
