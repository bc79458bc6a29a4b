// Read-copy-update for one value: writers publish complete new copies, and request threads read them without waiting.
//
// Each reading thread caches a reference to the copy that it last read, and each read compares one generation number. A thread takes the
// lock only once after each publication, to fetch the new copy. An old copy is freed when the last thread has fetched a newer one, so a
// thread that never reads again keeps at most one old copy alive. The reference returned by read() is valid until the same thread next
// calls read() on the same cell; copy whatever is needed for longer.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace chicoryrouter {

template<typename T>
class rcu_cell
{
public:
    explicit rcu_cell(std::shared_ptr<const T> initial = std::make_shared<const T>())
        : m_current(std::move(initial))
    {
    }

    rcu_cell(const rcu_cell &) = delete;
    rcu_cell &operator=(const rcu_cell &) = delete;

    void publish(std::shared_ptr<const T> newValue) // any thread; seen by every read() that starts afterwards
    {
        const std::lock_guard guard(m_lock);
        m_current = std::move(newValue);
        m_generation.fetch_add(1, std::memory_order_release);
    }

    const T &read() const // any thread; takes the lock or allocates only at the first read and after a publication
    {
        thread_copy &cached = threadCopy();
        const std::uint64_t generation = m_generation.load(std::memory_order_acquire);
        if (cached.generation != generation) {
            refresh(cached);
        }
        return *cached.value;
    }

    std::shared_ptr<const T> share() const // any thread; a reference that stays valid after the next read(); takes the lock
    {
        const std::lock_guard guard(m_lock);
        return m_current;
    }

private:
    struct thread_copy
    {
        std::uint64_t generation = 0;
        std::shared_ptr<const T> value;
    };

    thread_copy &threadCopy() const
    {
        thread_local std::uint64_t lastCellId = 0; // skips the map lookup, since most threads read only one cell
        thread_local thread_copy *lastCopy = nullptr;
        if (lastCellId != m_id) {
            thread_local std::unordered_map<std::uint64_t, thread_copy> copies;
            lastCopy = &copies[m_id];
            lastCellId = m_id;
        }
        return *lastCopy;
    }

    void refresh(thread_copy &cached) const
    {
        const std::lock_guard guard(m_lock);
        cached.value = m_current;
        cached.generation = m_generation.load(std::memory_order_relaxed);
    }

    static std::uint64_t nextId()
    {
        static std::atomic<std::uint64_t> ids{0};
        return ids.fetch_add(1) + 1;
    }

    const std::uint64_t m_id = nextId(); // never reused, so the stale copy of a destroyed cell is never taken for the copy of a new one
    std::atomic<std::uint64_t> m_generation{1};
    mutable std::mutex m_lock;
    std::shared_ptr<const T> m_current; // never null
};

} // namespace chicoryrouter
