#include "tarragonhaven/prefix_routes.h"
#include "tarragonhaven/route_splitter.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <random>

using namespace tarragonhaven;

namespace {

Route route(const std::string& host, const std::string& prefix)
{
    Route result;
    result.name = { host + prefix };
    result.host = host;
    result.prefix = prefix;
    return result;
}

} // namespace

TEST_CASE("PrefixRoutes finds the longest matching prefix among the routes of a host")
{
    const PrefixRoutes routes({ route("a.example", "/one/"), route("a.example", "/one/two/"),
        route("b.example", "/"), route("c.example", "/one/") });
    struct Row {
        const char* host;
        const char* path;
        const char* name;
    };
    const std::vector<Row> rows {
        { "a.example", "/one/", "a.example/one/" },
        { "A.Example:8080", "/one/x", "a.example/one/" },
        { "a.example", "/one/two/three", "a.example/one/two/" },
        { "a.example", "/one/two", "a.example/one/" },
        { "a.example", "/one", "" },
        { "a.example", "/onetwo/", "" },
        { "a.example", "/", "" },
        { "b.example", "/anything/at/all", "b.example/" },
        { "c.example", "/two/", "" },
        { "d.example", "/one/", "" },
        { "", "/one/", "" },
    };
    for (const auto& row : rows) {
        CAPTURE(row.host, row.path);
        const auto* found = routes.find(row.host, row.path);
        CHECK((found ? found->name.text : "") == row.name);
    }
}

TEST_CASE("PrefixRoutes agrees with a linear search on random routes and paths")
{
    for (unsigned seed = 1; seed <= 100; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        const auto path = [&random] {
            std::string result = "/";
            for (auto i = random() % 4; i > 0; --i)
                result += std::string(1, static_cast<char>('a' + random() % 2)) + "/";
            return result;
        };
        std::vector<Route> declared;
        for (int i = 0; i < 8; ++i)
            declared.push_back(route("h", path()));
        const PrefixRoutes routes(declared);
        for (int i = 0; i < 50; ++i) {
            const auto wanted = path() + (random() % 2 ? "leaf" : "");
            std::string longest;
            for (const auto& candidate : declared) {
                if (wanted.starts_with(candidate.prefix) && candidate.prefix.size() > longest.size())
                    longest = candidate.prefix;
            }
            const auto* found = routes.find("h", wanted);
            CHECK((found ? found->prefix : "") == longest);
        }
    }
}

TEST_CASE("RouteSplitter gives each service its share of the requests to within one request")
{
    Route split = route("h", "/");
    split.split = { { { "a" }, 90 }, { { "b" }, 10 }, { { "c" }, 0 } };
    RouteSplitter splitter;
    std::map<std::string, int> counts;
    for (int i = 1; i <= 1000; ++i) {
        ++counts[splitter.selectService(split).text];
        CHECK(std::abs(counts["a"] - 0.9 * i) <= 1);
        CHECK(std::abs(counts["b"] - 0.1 * i) <= 1);
    }
    CHECK(counts["c"] == 0);
    split.split = { { { "b" }, 1 } };
    CHECK(splitter.selectService(split).text == "b");
    split.split.clear();
    split.service = { "plain" };
    CHECK(splitter.selectService(split).text == "plain");
}
