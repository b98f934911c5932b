#pragma once

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

namespace util {

// A bounded queue from one producer thread to one consumer thread. push() never waits: at the bound it
// refuses and counts the loss. `wake` runs on the producer's thread when the consumer may be idle.
template <typename T> class BoundedRing {
public:
    explicit BoundedRing(std::size_t capacity)
        : m_queue(capacity)
    {
    }

    // Sets what wakes the consumer. Call it before the threads start.
    void onPush(std::function<void()> wake) { m_wake = std::move(wake); }

    // Adds one item. Returns false, and counts it, when the ring is full.
    bool push(T item)
    {
        if (!m_queue.push(std::move(item))) {
            m_refused.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        if (m_wake && !m_signalled.exchange(true))
            m_wake();
        return true;
    }

    // Hands every waiting item to `take` on the consumer's thread and returns how many there were.
    template <typename Take> std::size_t drain(Take take)
    {
        m_signalled.store(false);
        return m_queue.consume_all([&take](T& item) { take(std::move(item)); });
    }

    [[nodiscard]] std::uint64_t refused() const { return m_refused.load(std::memory_order_relaxed); }

private:
    boost::lockfree::spsc_queue<T> m_queue;
    std::function<void()> m_wake;
    std::atomic<bool> m_signalled { false };
    std::atomic<std::uint64_t> m_refused { 0 };
};

} // namespace util
