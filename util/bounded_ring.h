#pragma once

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

namespace util {

// A bounded lock-free queue from one producer thread to one consumer thread. push() never blocks: if the ring
// is full, it rejects the item and counts the rejection. The wake handler runs on the producer's thread at
// the first push after each drain, because the consumer may be idle then.
template <typename T> class BoundedRing {
public:
    explicit BoundedRing(std::size_t capacity)
        : m_queue(capacity)
    {
    }

    // Sets the function that wakes the consumer. Call this before the threads start.
    void setWakeHandler(std::function<void()> wakeHandler) { m_wakeHandler = std::move(wakeHandler); }

    // Adds one item. Returns false and counts the rejection if the ring is full.
    bool push(T item)
    {
        if (!m_queue.push(std::move(item))) {
            m_rejectedCount.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        if (m_wakeHandler && !m_wakePending.exchange(true))
            m_wakeHandler();
        return true;
    }

    // Removes all queued items and passes each to `consume`. Returns the number of items. Call this on the
    // consumer's thread.
    template <typename Consume> std::size_t drain(Consume consume)
    {
        m_wakePending.store(false);
        return m_queue.consume_all([&consume](T& item) { consume(std::move(item)); });
    }

    // Returns the number of items rejected because the ring was full.
    [[nodiscard]] std::uint64_t rejectedCount() const
    {
        return m_rejectedCount.load(std::memory_order_relaxed);
    }

private:
    boost::lockfree::spsc_queue<T> m_queue;
    std::function<void()> m_wakeHandler;
    std::atomic<bool> m_wakePending { false };
    std::atomic<std::uint64_t> m_rejectedCount { 0 };
};

} // namespace util
