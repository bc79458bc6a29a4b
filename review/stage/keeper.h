// The platform's part for processes that end: each machine's process is started again after a short delay, and one that exceeds the
// machine's memory is killed, as DEPLOY.md says. Counts the ends.
#pragma once

#include "stage.h"

namespace stage {

class keeper
{
public:
    explicit keeper(deployment &all)
        : m_all(all)
        , m_ends(all.machines.size())
        , m_thread([this] { watch(); })
    {
    }

    ~keeper() { stop(); }

    void stop()
    {
        m_going = false;
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    [[nodiscard]] int ends(std::size_t index) const { return m_ends[index]; }
    [[nodiscard]] int machinesWithEnds(int atLeast) const
    {
        int count = 0;
        for (const std::atomic<int> &item : m_ends) {
            count += item >= atLeast ? 1 : 0;
        }
        return count;
    }
    [[nodiscard]] std::size_t mostMemoryMb() const { return m_mostMemory; }

private:
    static constexpr std::size_t memoryMb = 260; // Limits.MemoryMb of the site armor-tables
    static constexpr milliseconds restartDelay{500};

    void watch()
    {
        std::vector<clock::time_point> startAt(m_all.machines.size(), clock::time_point::max());
        while (m_going) {
            for (std::size_t i = 0; i < m_all.machines.size(); ++i) {
                check(*m_all.machines[i], m_ends[i], startAt[i]);
            }
            std::this_thread::sleep_for(milliseconds(4));
        }
    }

    void check(machine &item, std::atomic<int> &ends, clock::time_point &startAt)
    {
        if (item.running()) {
            const std::size_t used = item.memoryMb();
            m_mostMemory = std::max<std::size_t>(m_mostMemory, used);
            if (used > memoryMb) {
                m_all.log.line(item.name() + ": holds " + std::to_string(used) + " MB, over the limit of " + std::to_string(memoryMb) + " MB: killed");
                item.kill();
                onEnd(item, "over its memory", ends, startAt);
            }
            return;
        }
        if (const std::optional<std::string> how = item.takeEnd()) {
            onEnd(item, *how, ends, startAt);
        }
        if (clock::now() >= startAt) {
            startAt = clock::time_point::max();
            item.start();
        }
    }

    void onEnd(const machine &item, const std::string &how, std::atomic<int> &ends, clock::time_point &startAt)
    {
        ++ends;
        m_all.log.line(item.name() + ": its process ended by itself, " + how + "; the " + std::to_string(ends) + ". time");
        startAt = clock::now() + restartDelay;
    }

    deployment &m_all;
    std::vector<std::atomic<int>> m_ends;
    std::atomic<std::size_t> m_mostMemory{0};
    std::atomic<bool> m_going{true};
    std::thread m_thread;
};

} // namespace stage
