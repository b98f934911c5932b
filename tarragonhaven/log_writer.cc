// The writer thread polls the channels. A line is therefore delayed by up to one poll interval, but a
// producer never blocks and never makes a system call to wake the writer.

#include "tarragonhaven/log_writer.h"

#include <atomic>
#include <chrono>
#include <future>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <vector>

namespace tarragonhaven {

namespace {

    constexpr auto pollInterval = std::chrono::milliseconds(20);
    // How long stop() waits for the remaining lines. It is part of the time that a process has to exit.
    constexpr auto stopTimeout = std::chrono::milliseconds(300);

    log4cplus::LogLevel toLog4cplus(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return log4cplus::DEBUG_LOG_LEVEL;
        case LogLevel::Info:
            return log4cplus::INFO_LOG_LEVEL;
        case LogLevel::Warning:
            return log4cplus::WARN_LOG_LEVEL;
        case LogLevel::Error:
            return log4cplus::ERROR_LOG_LEVEL;
        }
        return log4cplus::INFO_LOG_LEVEL;
    }

    // Opened once per process and never closed, because several nodes of one test process share it.
    log4cplus::Logger openLogger()
    {
        static auto* initializer = new log4cplus::Initializer();
        static_cast<void>(initializer);
        log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(false, true));
        appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
        auto logger = log4cplus::Logger::getInstance("tarragonhaven");
        logger.setAdditivity(false);
        logger.setLogLevel(log4cplus::ALL_LOG_LEVEL);
        logger.addAppender(appender);
        return logger;
    }

} // namespace

// The part of the writer that runs on the thread. It owns the channels.
class LogWriter::Worker {
public:
    LogChannel& add(std::unique_ptr<LogChannel> channel)
    {
        m_channels.push_back(std::move(channel));
        return *m_channels.back();
    }

    void run()
    {
        while (!m_stopping.load()) {
            if (!drainAll())
                std::this_thread::sleep_for(pollInterval);
        }
        drainAll();
        m_ended.set_value();
    }

    // Returns whether all lines were written within the timeout.
    bool stop()
    {
        m_stopping.store(true);
        return m_ended.get_future().wait_for(stopTimeout) == std::future_status::ready;
    }

private:
    // Writes the lines of all channels. Returns whether there were any.
    bool drainAll()
    {
        static auto logger = openLogger();
        std::size_t written = 0;
        for (const auto& channel : m_channels) {
            written += channel->ring().drain([](const LogLine& line) {
                logger.log(toLog4cplus(line.level), line.json, __FILE__, __LINE__);
            });
        }
        return written > 0;
    }

    std::vector<std::unique_ptr<LogChannel>> m_channels;
    std::atomic<bool> m_stopping { false };
    std::promise<void> m_ended;
};

LogWriter::LogWriter(std::string instance, LogLevel threshold, const LogBudgetOptions& budget)
    : m_instance(std::move(instance))
    , m_threshold(threshold)
    , m_budget(budget)
    , m_worker(std::make_shared<Worker>())
{
}

LogWriter::~LogWriter() { stop(); }

LogChannel& LogWriter::channel()
{
    return m_worker->add(std::make_unique<LogChannel>(m_instance, m_threshold, m_budget));
}

void LogWriter::start()
{
    m_thread = std::thread([worker = m_worker] { worker->run(); });
}

void LogWriter::stop()
{
    if (!m_thread.joinable())
        return;
    if (m_worker->stop())
        m_thread.join();
    else
        m_thread.detach();
}

} // namespace tarragonhaven
