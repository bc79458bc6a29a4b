// Routing: what one decision costs, and how the strategies compare.
#include "benchmarks.h"

#include "chicoryrouter/hash.h"
#include "chicoryrouter/router.h"
#include "parallel.h"
#include "trials/routing_trial.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <thread>

namespace {
thread_local std::uint64_t allocations = 0; // of this thread only: a shared counter would slow every benchmark
}

// Counts allocations, to show that a decision makes none.
void *operator new(std::size_t size)
{
    ++allocations;
    if (void *memory = std::malloc(size)) { // NOLINT
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory); // NOLINT
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory); // NOLINT
}

namespace chicoryrouter::bench {

namespace {

using namespace trials;

constexpr int decisions = 400'000;

service_table tableOf(std::size_t endpoints)
{
    service_table table;
    table.groups.push_back({"v1", totalShare, {}, {}});
    for (std::size_t i = 0; i < endpoints; ++i) {
        const auto item = std::make_shared<endpoint>();
        item->id = "endpoint-" + std::to_string(i);
        item->key = hashBytes(item->id);
        item->load = std::make_shared<endpoint_load>();
        item->load->slots = 16;
        item->load->inFlight = static_cast<std::uint32_t>(mixBits(i) % 12);
        table.groups[0].local.append(item);
    }
    return table;
}

double nanosecondsPerDecision(const service_table &table, bool withPrefix, unsigned threads)
{
    std::atomic<std::uint64_t> total{0};
    std::vector<std::thread> running;
    for (unsigned t = 0; t < threads; ++t) {
        running.emplace_back([&, t] {
            seeded_random random(t + 1);
            route_query query;
            const auto begin = std::chrono::steady_clock::now();
            for (int i = 0; i < decisions; ++i) {
                query.prefix = withPrefix ? random.next() | 1U : 0;
                const route_choice choice = chooseEndpoint(table, query, {}, random);
                if (choice.chosen != nullptr) {
                    (*choice.chosen)->load->release();
                }
            }
            total += static_cast<std::uint64_t>(std::chrono::nanoseconds(std::chrono::steady_clock::now() - begin).count());
        });
    }
    for (std::thread &thread : running) {
        thread.join();
    }
    return static_cast<double>(total) / decisions / threads;
}

void printCosts()
{
    std::printf("%-10s %-8s %8s %16s\n", "endpoints", "rule", "threads", "ns per decision");
    for (const std::size_t endpoints : {91, 1000}) {
        const service_table table = tableOf(endpoints);
        for (const bool withPrefix : {true, false}) {
            for (const unsigned threads : {1U, 8U}) {
                std::printf(
                    "%-10zu %-8s %8u %16.0f\n", endpoints, withPrefix ? "prefix" : "sample", threads, nanosecondsPerDecision(table, withPrefix, threads));
            }
        }
    }
    const service_table table = tableOf(91);
    seeded_random random(1);
    const std::uint64_t before = allocations;
    for (int i = 0; i < 1000; ++i) {
        const route_choice choice = chooseEndpoint(table, {.prefix = random.next() | 1U}, {}, random);
        (*choice.chosen)->load->release();
    }
    std::printf("allocations in 1000 decisions: %lu\n\n", static_cast<unsigned long>(allocations - before));
}

void printComparison(double requestsPerSecond, double reportsLost)
{
    constexpr std::size_t runs = 8;
    std::printf("%.0f requests/s, %.0f%% of load reports lost\n", requestsPerSecond, 100.0 * reportsLost);
    std::printf("%-22s %14s %18s %12s %14s\n", "strategy", "in target %", "computed/request", "worst/mean", "first token s");
    for (const strategy kind : {strategy::Random, strategy::LeastInFlight, strategy::PowerOfTwo, strategy::BestOfThree, strategy::Blended,
             strategy::PrefixBounded, strategy::BlendedPrefix}) {
        const auto results = inParallel<routing_trial_result>(runs, [&](std::size_t run) {
            routing_trial_options options;
            options.kind = kind;
            options.requestsPerSecond = requestsPerSecond;
            options.reportsLost = reportsLost;
            options.seed = run + 1;
            return runRoutingTrial(options);
        });
        routing_trial_result mean;
        for (const routing_trial_result &item : results) {
            mean.withinTargetPercent += item.withinTargetPercent / runs;
            mean.computedPerRequest += item.computedPerRequest / runs;
            mean.worstOverMean += item.worstOverMean / runs;
            mean.meanFirstTokenSeconds += item.meanFirstTokenSeconds / runs;
        }
        std::printf("%-22s %14.2f %18.0f %12.2f %14.3f\n", std::string(toText(kind)).c_str(), mean.withinTargetPercent, mean.computedPerRequest,
            mean.worstOverMean, mean.meanFirstTokenSeconds);
    }
    std::printf("\n");
}

} // namespace

void routing()
{
    printCosts();
    printComparison(20.0, 0.0);
    printComparison(30.0, 0.0);
    printComparison(30.0, 0.9);
}

} // namespace chicoryrouter::bench
