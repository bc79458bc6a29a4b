// Runs independent, seeded trials on all cores; results come back in the order of their numbers.
#pragma once

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace chicoryrouter::bench {

template<typename Result>
std::vector<Result> inParallel(std::size_t count, const std::function<Result(std::size_t)> &run)
{
    std::vector<Result> results(count);
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < std::thread::hardware_concurrency(); ++i) {
        threads.emplace_back([&] {
            for (std::size_t number = next++; number < count; number = next++) {
                results[number] = run(number);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return results;
}

} // namespace chicoryrouter::bench
