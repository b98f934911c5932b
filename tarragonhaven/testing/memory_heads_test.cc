// The number of header fields of a request, and the memory that they take, without a network.

#include "tarragonhaven/memory/head_cost.h"
#include "tarragonhaven/message_parser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <random>

namespace tarragonhaven::testing {

namespace {

    namespace http = boost::beast::http;

    // Counts the bytes that are allocated.
    template <typename T> struct CountingAllocator {
        using value_type = T;
        explicit CountingAllocator(std::shared_ptr<std::size_t> counted)
            : bytes(std::move(counted))
        {
        }
        template <typename U>
        // NOLINTNEXTLINE(google-explicit-constructor): containers convert allocators implicitly.
        CountingAllocator(const CountingAllocator<U>& other)
            : bytes(other.bytes)
        {
        }
        T* allocate(std::size_t count)
        {
            *bytes += count * sizeof(T);
            return std::allocator<T>().allocate(count);
        }
        void deallocate(T* memory, std::size_t count) { std::allocator<T>().deallocate(memory, count); }
        friend bool operator==(const CountingAllocator& left, const CountingAllocator& right)
        {
            return left.bytes == right.bytes;
        }
        std::shared_ptr<std::size_t> bytes;
    };

    boost::system::error_code parse(const std::string& fields, const HeadLimits& limits)
    {
        MessageParser<true, http::buffer_body> parser;
        parser.header_limit(16 * 1024);
        parser.limitFields(limits);
        const auto text = "GET / HTTP/1.1\r\nHost: t\r\n" + fields + "\r\n";
        boost::system::error_code error;
        parser.put(boost::asio::buffer(text), error);
        return error;
    }

    std::string fieldsOf(std::size_t count, const std::string& field)
    {
        std::string text;
        for (std::size_t i = 0; i < count; ++i)
            text += field + "\r\n";
        return text;
    }

} // namespace

// Guards against heads of legal size that take 40 times their size in memory.
TEST_CASE("a head with too many fields is refused, although it is small")
{
    CHECK_FALSE(parse(fieldsOf(199, "a:b"), {}));
    CHECK(parse(fieldsOf(200, "a:b"), {}) == http::error::header_limit);
    CHECK(parse(fieldsOf(3000, "a:b"), {}) == http::error::header_limit);
    CHECK_FALSE(parse(fieldsOf(3000, "a:b"), HeadLimits::none()));
}

// Guards against limits that heads of ordinary callers reach, up to the declared size of a head.
TEST_CASE("ordinary heads of up to 16 kB are within the limits")
{
    CHECK_FALSE(parse("cookie: " + std::string(16'000, 'c') + "\r\n", {}));
    CHECK_FALSE(parse(fieldsOf(100, "x-ordinary-field: " + std::string(130, 'v')), {}));
    CHECK(
        parse(fieldsOf(3, "x: " + std::string(3000, 'v')), { 200, 16 * 1024 }) == http::error::header_limit);
}

// Guards against an account of heads that is too small, so that a bound on memory does not hold.
TEST_CASE("the counted memory of a field is at least what it takes, and not much more")
{
    std::mt19937 random(1);
    for (int i = 0; i < 1000; ++i) {
        const std::string name(1 + random() % 40, 'n');
        const std::string value(random() % (i % 10 == 0 ? 8000 : 60), 'v');
        const auto bytes = std::make_shared<std::size_t>(0);
        http::basic_fields<CountingAllocator<char>> fields { CountingAllocator<char>(bytes) };
        fields.insert(name, value);
        const HeaderField converted { name, value };
        const auto held = *bytes + sizeof(HeaderField)
            + (converted.name.capacity() > 15 ? converted.name.capacity() + 1 : 0)
            + (converted.value.capacity() > 15 ? converted.value.capacity() + 1 : 0);
        const auto counted = fieldCost(name.size(), value.size());
        CAPTURE(name.size(), value.size(), held, counted);
        CHECK(counted >= held);
        CHECK(counted <= 2 * held);
    }
}

} // namespace tarragonhaven::testing
