// Thread-safe counters with and without an upper limit, for example for the open requests of an endpoint or of a client account.
#pragma once

#include <atomic>
#include <cassert>
#include <cstdint>

namespace chicoryrouter {

// Increments `count` if it is below `limit`; returns false otherwise. Concurrent calls never raise `count` above `limit`.
inline bool tryIncrement(std::atomic<std::uint32_t> &count, const std::atomic<std::uint32_t> &limit)
{
    std::uint32_t current = count.load(std::memory_order_relaxed);
    while (current < limit.load(std::memory_order_relaxed)) {
        if (count.compare_exchange_weak(current, current + 1, std::memory_order_acq_rel)) {
            return true;
        }
    }
    return false;
}

// Undoes one tryIncrement().
inline void decrement(std::atomic<std::uint32_t> &count)
{
    const std::uint32_t previous = count.fetch_sub(1, std::memory_order_acq_rel);
    assert(previous > 0 && "decrement() without a matching tryIncrement()");
    (void)previous;
}

// Adds to a counter without a limit, by default one, and takes the same away in the destructor.
template<typename Number>
class scoped_count
{
public:
    explicit scoped_count(std::atomic<Number> &count, Number amount = 1)
        : m_count(count)
        , m_amount(amount)
    {
        m_count += m_amount;
    }
    ~scoped_count() { m_count -= m_amount; }
    scoped_count(const scoped_count &) = delete;
    scoped_count &operator=(const scoped_count &) = delete;

private:
    std::atomic<Number> &m_count;
    Number m_amount;
};

} // namespace chicoryrouter
