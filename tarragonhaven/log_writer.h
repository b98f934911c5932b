#pragma once

#include "tarragonhaven/log_channel.h"

#include <memory>
#include <string>
#include <thread>

namespace tarragonhaven {

// The thread that writes the log: it drains the channels of the other threads and hands their lines to
// log4cplus, which writes them to the standard output, one JSON object a line.
//
// Whoever reads the output may stop reading: then the thread waits, channels fill and leave lines out, and
// stop() gives up after a while.
class LogWriter {
public:
    LogWriter(std::string instance, LogLevel threshold, const LogBudgetOptions& budget = {});
    ~LogWriter();
    LogWriter(const LogWriter&) = delete;
    LogWriter& operator=(const LogWriter&) = delete;

    // A channel for one producing thread. Make all channels before start().
    LogChannel& channel();
    void start();
    // Writes what is left and ends the thread. Channels must not be used after it.
    void stop();

private:
    class Worker;

    std::string m_instance;
    LogLevel m_threshold;
    LogBudgetOptions m_budget;
    // Shared with the thread, which may outlive this object when its output is not read.
    std::shared_ptr<Worker> m_worker;
    std::thread m_thread;
};

} // namespace tarragonhaven
