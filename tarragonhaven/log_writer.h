#pragma once

#include "tarragonhaven/log_channel.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace tarragonhaven {

// The thread that writes the log: it drains the channels of the other threads and hands their lines to
// log4cplus, which writes them to the standard output, one JSON object a line.
class LogWriter {
public:
    LogWriter(std::string instance, LogLevel threshold);
    ~LogWriter();
    LogWriter(const LogWriter&) = delete;
    LogWriter& operator=(const LogWriter&) = delete;

    // A channel for one producing thread. Make all channels before start().
    LogChannel& channel();
    void start();
    // Writes what is left and ends the thread.
    void stop();

private:
    void run();
    bool drainAll();

    std::string m_instance;
    LogLevel m_threshold;
    std::vector<std::unique_ptr<LogChannel>> m_channels;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace tarragonhaven
