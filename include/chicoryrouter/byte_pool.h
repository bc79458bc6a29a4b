// A bounded number of bytes that many holders share, for example the answers that callers have not read yet. Answers the load of many slow
// readers: a holder may have as much as is left for all others, so that a few large holders never leave nothing for the next one.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace chicoryrouter {

struct byte_pool_limits
{
    std::size_t total = 0;  // bytes of all holders together, apart from `always` of each; one holder has at most half of it
    std::size_t always = 0; // bytes that every holder may have, also when the others hold `total`
};

// Whether a holder that has `own` of the `held` bytes may have `wanted` bytes.
bool mayHold(const byte_pool_limits &limits, std::size_t held, std::size_t own, std::size_t wanted);

// Any thread.
class byte_pool
{
public:
    explicit byte_pool(const byte_pool_limits &limits)
        : m_limits(limits)
    {
    }

    [[nodiscard]] std::size_t held() const { return m_held.load(std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t refusals() const { return m_refusals.load(std::memory_order_relaxed); } // number of times that a holder found no room
    [[nodiscard]] const byte_pool_limits &limits() const { return m_limits; }
    void countRefusal() { m_refusals.fetch_add(1, std::memory_order_relaxed); }

private:
    friend class byte_share;

    byte_pool_limits m_limits;
    std::atomic<std::size_t> m_held{0}; // sum over the shares
    std::atomic<std::uint64_t> m_refusals{0};
};

// What one holder has of a pool. Use it from one thread at a time; returns its bytes on destruction.
class byte_share
{
public:
    explicit byte_share(std::shared_ptr<byte_pool> pool) // null: without a bound
        : m_pool(std::move(pool))
    {
    }
    ~byte_share() { set(0); }
    byte_share(const byte_share &) = delete;
    byte_share &operator=(const byte_share &) = delete;

    [[nodiscard]] std::size_t bytes() const { return m_bytes; }
    [[nodiscard]] bool mayHave(std::size_t bytes) const; // whether there is room for so many in all
    bool tryGrowTo(std::size_t bytes);                   // false: no room, and nothing has changed
    void set(std::size_t bytes);                         // also beyond the bound: for bytes that are there already
    void countRefusal();

private:
    std::shared_ptr<byte_pool> m_pool;
    std::size_t m_bytes = 0;
};

} // namespace chicoryrouter
