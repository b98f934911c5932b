// The thread polls: a line may wait for one poll interval, and no producer ever waits or makes a system call.

#include "tarragonhaven/log_writer.h"

#include <chrono>
#include <iostream>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace tarragonhaven {

namespace {

    constexpr auto pollInterval = std::chrono::milliseconds(20);

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

    // Opened once in a process and never closed, since several nodes may share it in tests.
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

LogWriter::LogWriter(std::string instance, LogLevel threshold)
    : m_instance(std::move(instance))
    , m_threshold(threshold)
{
}

LogWriter::~LogWriter() { stop(); }

LogChannel& LogWriter::channel()
{
    m_channels.push_back(std::make_unique<LogChannel>(m_instance, m_threshold));
    return *m_channels.back();
}

void LogWriter::start()
{
    m_thread = std::thread([this] { run(); });
}

void LogWriter::stop()
{
    m_stopping.store(true);
    if (m_thread.joinable())
        m_thread.join();
}

void LogWriter::run()
{
    while (!m_stopping.load()) {
        if (!drainAll())
            std::this_thread::sleep_for(pollInterval);
    }
    drainAll();
}

bool LogWriter::drainAll()
{
    static auto logger = openLogger();
    std::size_t written = 0;
    for (const auto& channel : m_channels) {
        written += channel->ring().drain(
            [](const LogLine& line) { logger.log(toLog4cplus(line.level), line.json, __FILE__, __LINE__); });
    }
    return written > 0;
}

} // namespace tarragonhaven
