#include "tarragonhaven/limits/pending_retries.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace tarragonhaven {

bool PendingRetries::add(const std::string& service, Retry retry)
{
    auto& queue = m_queues[service];
    queue.retries.push_back(std::move(retry));
    return queue.retries.size() == 1;
}

std::map<int, std::uint32_t> PendingRetries::ask(const std::string& service)
{
    std::map<int, std::uint32_t> counts;
    const auto found = m_queues.find(service);
    if (found == m_queues.end())
        return counts;
    auto& [retries, asked] = found->second;
    for (; asked < retries.size(); ++asked)
        ++counts[retries[asked].rank];
    return counts;
}

std::vector<PendingRetries::Retry> PendingRetries::takeAsked(const std::string& service, std::size_t count)
{
    std::vector<Retry> taken;
    const auto found = m_queues.find(service);
    if (found == m_queues.end())
        return taken;
    auto& [retries, asked] = found->second;
    count = std::min(count, asked);
    asked -= count;
    const auto end = retries.begin() + static_cast<std::ptrdiff_t>(count);
    std::move(retries.begin(), end, std::back_inserter(taken));
    retries.erase(retries.begin(), end);
    if (retries.empty())
        m_queues.erase(found);
    std::stable_sort(
        taken.begin(), taken.end(), [](const Retry& a, const Retry& b) { return a.rank < b.rank; });
    return taken;
}

bool PendingRetries::hasUnasked(const std::string& service) const
{
    const auto found = m_queues.find(service);
    return found != m_queues.end() && found->second.asked < found->second.retries.size();
}

std::map<std::string, std::vector<PendingRetries::Retry>> PendingRetries::takeExpired(util::Time now)
{
    std::map<std::string, std::vector<Retry>> expired;
    for (auto& [service, queue] : m_queues) {
        std::vector<Retry> remaining;
        std::size_t asked = 0;
        for (std::size_t i = 0; i < queue.retries.size(); ++i) {
            auto& retry = queue.retries[i];
            if (retry.deadline <= now) {
                expired[service].push_back(std::move(retry));
                continue;
            }
            asked += i < queue.asked ? 1 : 0;
            remaining.push_back(std::move(retry));
        }
        queue = { std::move(remaining), asked };
    }
    std::erase_if(m_queues, [](const auto& item) { return item.second.retries.empty(); });
    return expired;
}

std::size_t PendingRetries::size() const
{
    std::size_t sum = 0;
    for (const auto& [service, queue] : m_queues)
        sum += queue.retries.size();
    return sum;
}

} // namespace tarragonhaven
