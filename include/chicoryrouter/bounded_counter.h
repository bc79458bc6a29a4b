// A count that many threads raise up to a bound and lower again: open requests at an endpoint, or of a client account.
#pragma once

#include <atomic>
#include <cassert>
#include <cstdint>

namespace chicoryrouter {

// Counts one more in `open` unless that would pass `bound`; false when it would. Never passes it, on any number of threads.
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

inline void decrement(std::atomic<std::uint32_t> &count)
{
    const std::uint32_t previous = count.fetch_sub(1, std::memory_order_acq_rel);
    assert(previous > 0 && "counted out what was never counted in");
    (void)previous;
}

// Counts something in for as long as it lives, without a bound.
template<typename Number>
class scoped_count
{
public:
    explicit scoped_count(std::atomic<Number> &count)
        : m_count(count)
    {
        ++m_count;
    }
    ~scoped_count() { --m_count; }
    scoped_count(const scoped_count &) = delete;
    scoped_count &operator=(const scoped_count &) = delete;

private:
    std::atomic<Number> &m_count;
};

} // namespace chicoryrouter
