#pragma once

#include "tarragonhaven/log_channel.h"

#include <memory>
#include <string>
#include <thread>

namespace tarragonhaven {

// Runs the thread that writes the log. The thread drains the channels of the other threads and passes their
// lines to log4cplus, which writes them to standard output, one JSON object per line.
//
// If the reader of standard output stops reading, the thread blocks, the channels fill up and drop lines, and
// stop() gives up after 300 ms.
class LogWriter {
public:
    LogWriter(std::string instance, LogLevel threshold, const LogBudgetOptions& budget = {});
    ~LogWriter();
    LogWriter(const LogWriter&) = delete;
    LogWriter& operator=(const LogWriter&) = delete;

    // Creates a channel for one producer thread. All channels must be created before start().
    LogChannel& channel();
    void start();
    // Writes the remaining lines and ends the thread. If that takes longer than 300 ms, detaches the thread
    // and returns. Channels must not be used afterwards.
    void stop();

private:
    class Worker;

    std::string m_instance;
    LogLevel m_threshold;
    LogBudgetOptions m_budget;
    // Shared with the thread, which outlives this object if nobody reads its output.
    std::shared_ptr<Worker> m_worker;
    std::thread m_thread;
};

} // namespace tarragonhaven
