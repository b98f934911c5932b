// Tests of the log when there are too many lines, and when nobody reads its output.

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

    // Replaces standard output by a pipe, which nobody reads until drain() is called.
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

        // Reads until no more data arrives for 500 ms.
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

// If nobody reads standard output, a log without bounds blocks the traffic thread and the exit of the
// process. The checks run after standard output is restored, because a failed check is reported there.
TEST_CASE("a log that nobody reads blocks neither its producers nor the exit of the process")
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

TEST_CASE("the log budget limits lines and bytes and reserves half of a burst for warnings and errors")
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
        { "lines below Warning: half of two seconds of the rate", { 100, 1e9 }, 10, LogLevel::Info, 100 },
        { "lines of Warning: two seconds of the rate", { 100, 1e9 }, 10, LogLevel::Warning, 200 },
        { "bytes below Warning: half of two seconds of the rate", { 1e9, 1000 }, 10, LogLevel::Info, 100 },
        { "bytes of Error: two seconds of the rate", { 1e9, 1000 }, 10, LogLevel::Error, 200 },
        { "one line that is longer than the whole budget", { 1e9, 1000 }, 5000, LogLevel::Warning, 1 },
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
    // After lines below Warning have used up their half, the other half still admits 100 warnings. Then the
    // budget refills at 100 lines per second: lines below Warning need more than half of it again.
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

TEST_CASE("dropped lines are counted by kind and reported once per second")
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
