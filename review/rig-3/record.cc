#include "record.h"

#include <cstdlib>
#include <iomanip>
#include <string_view>
#include <thread>

namespace rig {

double Record::now() const { return std::chrono::duration<double>(Clock::now() - m_start).count(); }

void Record::write(const std::string& event)
{
    const std::lock_guard lock(m_mutex);
    m_file << std::fixed << std::setprecision(3) << now() << " " << event << std::endl;
}

void sleepMs(int milliseconds) { std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds)); }

bool hasTrouble()
{
    const auto* trouble = std::getenv("TROUBLE");
    return !trouble || std::string_view(trouble) != "0";
}

} // namespace rig
