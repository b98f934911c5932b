#include "tarragonhaven/body_buffer.h"

#include <catch2/catch.hpp>
#include <random>

namespace tarragonhaven::testing {

namespace {

    std::string takeAll(BodyBuffer& buffer, bool& ended)
    {
        std::string body;
        while (!buffer.empty()) {
            const auto piece = buffer.takeFront();
            CHECK_FALSE(ended);
            ended = piece.last;
            body += piece.data;
        }
        return body;
    }

} // namespace

// Guards against a body in tiny chunks that takes many times its size in memory, until the node is killed for
// it.
TEST_CASE("the memory of a kept body is bounded by its size, whatever the size of its chunks")
{
    constexpr std::size_t bodyBytes = 1'000'000;
    for (const std::size_t chunkBytes : { 1, 7, 100, 5'000, 16'384 }) {
        CAPTURE(chunkBytes);
        BodyBudget budget(0);
        BodyBuffer buffer(budget);
        for (std::size_t sent = 0; sent < bodyBytes; sent += chunkBytes) {
            // Beast delivers the head of a chunk as an empty part.
            buffer.append({ "", false });
            buffer.append({ std::string(std::min(chunkBytes, bodyBytes - sent), 'x'), false });
        }
        CHECK(buffer.bodyBytes() == bodyBytes);
        CHECK(buffer.heldBytes() <= 2 * bodyBytes + 2 * bodyChunkBytes);
        CHECK(buffer.pieceCount() <= 2 * bodyBytes / bodyChunkBytes + 2);
        CHECK(budget.heldBytes() == buffer.heldBytes());
    }
}

TEST_CASE("a kept body has the content and the end of what was appended")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        BodyBudget budget(0);
        BodyBuffer buffer(budget);
        std::string expected;
        std::string taken;
        const auto count = random() % 200;
        for (std::size_t i = 0; i <= count; ++i) {
            const std::size_t sizes[] { 0, 1, 100, 10'000, bodyChunkBytes };
            const std::string data(sizes[random() % std::size(sizes)], static_cast<char>('a' + i % 26));
            expected += data;
            buffer.append({ data, i == count });
            CHECK(buffer.hasEnd() == (i == count));
            if (random() % 4 == 0 && i < count)
                taken += buffer.takeFront().data;
            CHECK(buffer.bodyBytes() == expected.size() - taken.size());
            CHECK(buffer.prefix(50) == expected.substr(taken.size(), 50));
        }
        bool ended = false;
        taken += takeAll(buffer, ended);
        CHECK(ended);
        CHECK(taken == expected);
        CHECK(budget.heldBytes() == 0);
    }
}

TEST_CASE("a budget counts what buffers hold until they are cleared or destroyed")
{
    BodyBudget budget(100'000);
    BodyBuffer kept(budget);
    {
        BodyBuffer other(budget);
        other.append({ std::string(50'000, 'x'), true });
        CHECK(budget.allows(40'000));
        CHECK_FALSE(budget.allows(60'000));
        kept.append({ std::string(60'000, 'y'), false });
        CHECK_FALSE(budget.allows(1));
        kept.replaceWith(other);
        CHECK(kept.bodyBytes() == 50'000);
        CHECK(kept.hasEnd());
        CHECK(other.empty());
        CHECK(budget.allows(40'000));
    }
    CHECK(budget.heldBytes() == kept.heldBytes());
    kept.clear();
    CHECK(budget.heldBytes() == 0);
}

} // namespace tarragonhaven::testing
