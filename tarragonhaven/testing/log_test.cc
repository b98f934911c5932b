// The log under too many lines, and with a reader that stops.

#include "tarragonhaven/log_writer.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <fcntl.h>
#include <future>
#include <poll.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace tarragonhaven::testing {

namespace {

    constexpr int readTimeoutMs = 500;

    // Stands in place of the standard output. Nobody reads from it before drain().
    class PipedStandardOutput {
    public:
        PipedStandardOutput()
        {
            std::fflush(stdout);
            m_originalOutput = dup(STDOUT_FILENO);
            REQUIRE(pipe(m_ends) == 0);
            REQUIRE(dup2(m_ends[1], STDOUT_FILENO) >= 0);
            close(m_ends[1]);
        }
        ~PipedStandardOutput()
        {
            dup2(m_originalOutput, STDOUT_FILENO);
            close(m_originalOutput);
            close(m_ends[0]);
        }
        PipedStandardOutput(const PipedStandardOutput&) = delete;
        PipedStandardOutput& operator=(const PipedStandardOutput&) = delete;

        // Reads until nothing more comes for a while.
        std::string drain()
        {
            std::string text;
            char bytes[4096];
            pollfd ready { m_ends[0], POLLIN, 0 };
            while (poll(&ready, 1, readTimeoutMs) > 0) {
                const auto count = read(m_ends[0], bytes, sizeof bytes);
                if (count <= 0)
                    break;
                text.append(bytes, static_cast<std::size_t>(count));
            }
            return text;
        }

    private:
        int m_originalOutput = -1;
        int m_ends[2] = { -1, -1 };
    };

} // namespace

// Checks stand after the output is back in place, since the report of a failed one is written there.
TEST_CASE("a log that nobody reads holds up neither its writers nor the end of the process")
{
    using namespace std::chrono_literals;
    using Clock = std::chrono::steady_clock;
    Clock::duration writeTime {};
    std::uint64_t dropped = 0;
    bool ended = false;
    {
        PipedStandardOutput output;
        LogWriter writer("i1", LogLevel::Info);
        auto& log = writer.channel();
        writer.start();
        const auto start = Clock::now();
        for (int i = 0; i < 20000; ++i)
            log.write(LogLevel::Info, "route", { { "request", std::string(100, 'x') } });
        writeTime = Clock::now() - start;
        dropped = log.dropped();
        auto stopped = std::async(std::launch::async, [&writer] { writer.stop(); });
        ended = stopped.wait_for(3s) == std::future_status::ready;
        output.drain();
    }
    CHECK(writeTime < 5s);
    CHECK(dropped > 0);
    CHECK(ended);
}

TEST_CASE("the budget bounds lines and bytes, and keeps half of a burst for failures")
{
    const util::Time start { std::chrono::hours(1) };
    struct Row {
        const char* description;
        LogBudgetOptions options;
        std::size_t bytes;
        LogLevel level;
        int admitted;
    };
    const Row rows[] = {
        { "lines of successes: half of two seconds' worth", { 100, 1e9 }, 10, LogLevel::Info, 100 },
        { "lines of failures: two seconds' worth", { 100, 1e9 }, 10, LogLevel::Warning, 200 },
        { "bytes of successes", { 1e9, 1000 }, 10, LogLevel::Info, 100 },
        { "bytes of failures", { 1e9, 1000 }, 10, LogLevel::Error, 200 },
        { "one line larger than the whole budget", { 1e9, 1000 }, 5000, LogLevel::Warning, 1 },
    };
    for (const auto& row : rows) {
        INFO(row.description);
        LogBudget budget(row.options, start);
        int admitted = 0;
        while (admitted < 1000 && budget.admits(row.level, start)) {
            budget.charge(row.bytes);
            ++admitted;
        }
        CHECK(admitted == row.admitted);
    }
    // Successes that fill their half leave failures theirs, and a second brings back a second's worth.
    LogBudget budget({ 100, 1e9 }, start);
    while (budget.admits(LogLevel::Info, start))
        budget.charge(1);
    int failures = 0;
    for (; budget.admits(LogLevel::Warning, start); ++failures)
        budget.charge(1);
    CHECK(failures == 100);
    CHECK_FALSE(budget.admits(LogLevel::Info, start + std::chrono::milliseconds(900)));
    CHECK(budget.admits(LogLevel::Warning, start + std::chrono::milliseconds(20)));
    CHECK(budget.admits(LogLevel::Info, start + std::chrono::seconds(2)));
}

TEST_CASE("lines that are left out are counted by kind and summed up once a second")
{
    LogChannel log("i1", LogLevel::Info, { 10, 1e9 });
    for (int i = 0; i < 30; ++i)
        log.write(LogLevel::Info, "answer", { { "request", i } });
    log.write(LogLevel::Warning, "refusal", { { "request", "r" } });
    std::vector<std::string> lines;
    const auto drainLines
        = [&] { log.ring().drain([&lines](const LogLine& line) { lines.push_back(line.json); }); };
    drainLines();
    CHECK(lines.size() == log.written());
    CHECK(log.written() + log.dropped() == 31);
    CHECK(lines.back().find("refusal") != std::string::npos);
    log.tick();
    drainLines();
    CHECK(lines.back().find("left-out") == std::string::npos);
    std::this_thread::sleep_for(std::chrono::milliseconds(1010));
    log.tick();
    drainLines();
    const auto summary = nlohmann::json::parse(lines.back());
    CHECK(summary["kind"] == "log");
    CHECK(summary["lines"]["answer"] == log.dropped());
    const auto count = lines.size();
    log.tick();
    drainLines();
    CHECK(lines.size() == count);
}

} // namespace tarragonhaven::testing
