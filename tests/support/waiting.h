// Waiting in tests of real threads and processes. Nothing hangs on how long it takes: only a fault reaches the bound.
#pragma once

#include "shell/clock.h"

#include <functional>
#include <thread>

namespace chicoryrouter::test {

inline constexpr duration patience = std::chrono::seconds(20);

inline bool eventually(const std::function<bool()> &holds)
{
    const time_point until = systemNow() + patience;
    while (systemNow() < until) {
        if (holds()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return holds();
}

} // namespace chicoryrouter::test
