// Cost slopes of the control strand: one size is varied at a time, a line is fitted, and its error printed. docs/CAPACITY.md is worked
// out from these lines.
#include "benchmarks.h"

#include "chicoryrouter/fleet.h"
#include "chicoryrouter/hash.h"
#include "standin/deployment.h"
#include "trials/cluster.h"

#include <cmath>
#include <cstdio>
#include <ctime>
#include <functional>
#include <malloc.h>
#include <thread>

namespace chicoryrouter::bench {

namespace {

using namespace trials;
using namespace std::chrono_literals;

constexpr duration warmUp = 30s;
constexpr duration measured = 60s;
constexpr std::uint64_t demandEvery = 5; // seconds, as the daemon measures it

struct point
{
    double x = 0.0;
    double y = 0.0;
};

double processorSeconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

void printFit(const char *what, const char *unit, const std::vector<point> &points)
{
    const auto n = static_cast<double>(points.size());
    double sx = 0.0;
    double sy = 0.0;
    double sxx = 0.0;
    double sxy = 0.0;
    for (const point &p : points) {
        sx += p.x;
        sy += p.y;
        sxx += p.x * p.x;
        sxy += p.x * p.y;
    }
    const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    const double start = (sy - slope * sx) / n;
    double worst = 0.0;
    for (const point &p : points) {
        worst = std::max(worst, std::abs(p.y - (start + slope * p.x)));
    }
    std::printf("%-46s %14.4g + %12.4g per unit   worst error %10.3g %s   (", what, start, slope, worst, unit);
    for (const point &p : points) {
        std::printf(" %g:%.4g", p.x, p.y);
    }
    std::printf(" )\n");
}

struct cluster_cost
{
    double processorPerSecond = 0.0; // of a core, per daemon
    double messagesPerSecond = 0.0;  // sent, per daemon
    double bytesPerSecond = 0.0;     // sent, per daemon
    double bytesHeld = 0.0;          // heap, per daemon
};

struct cluster_load
{
    std::size_t daemons = 33;
    std::size_t domains = 1;
    std::size_t endpoints = 0; // each reports once a second
    std::size_t routes = 0;    // of a service with a version move, each answering once a second at each daemon
    std::size_t accounts = 0;
};

std::string documentOf(const cluster_load &load, time_point start)
{
    (void)start;
    std::string text = "services:\n  - name: s\n    kind: model\n    current_version: v1\n    versions: [{name: v1, max_concurrency: 16}, {name: v2, "
                       "max_concurrency: 16}]\nfailure_domains:\n";
    for (std::size_t i = 0; i < std::max<std::size_t>(load.domains, 1); ++i) {
        text += "  - {name: d" + std::to_string(i) + ", region: r}\n";
    }
    text += "accounts:\n";
    for (std::size_t i = 0; i < std::max<std::size_t>(load.accounts, 1); ++i) {
        text += "  - {name: a" + std::to_string(i) + ", max_in_flight: 100, token_hashes: [" + std::string(58, 'a') + std::to_string(100000 + i) + "]}\n";
    }
    text += "routes:\n";
    for (std::size_t i = 0; i < std::max<std::size_t>(load.routes, 1); ++i) {
        text += "  - {name: r" + std::to_string(i) + ", service: s, repeatable: true, deadline: 60s}\n";
    }
    if (load.routes > 0) {
        text += "moves: [{service: s, from: v1, to: v2, start_at: 2019-01-01T00:00:00Z, done_by: 2099-01-01T00:00:00Z}]\n";
    }
    return text;
}

void feed(cluster &all, const cluster_load &load, std::uint64_t second)
{
    for (std::size_t e = 0; e < load.endpoints; ++e) {
        const std::size_t poller = mixBits(e) % all.size();
        all.at(poller).onLoadReport({"endpoint-" + std::to_string(e), 1, second, second * 3, 5, 0});
    }
    for (std::size_t i = 0; i < all.size(); ++i) {
        for (std::size_t r = 0; r < load.routes; ++r) {
            all.at(i).onOutcome({"endpoint-1", "s", second % 10 == 0 ? "v2" : "v1", "r" + std::to_string(r), attempt_result::Completed, 300ms}, all.now());
        }
        if (second % demandEvery != 0) {
            continue;
        }
        std::vector<account_demand> demand;
        for (std::size_t a = 0; a < load.accounts; ++a) {
            demand.push_back({"a" + std::to_string(a), static_cast<double>(second % 7 + a)});
        }
        all.at(i).setDemand(std::move(demand));
    }
}

cluster_cost costOf(const cluster_load &load)
{
    const double heapBefore = heapBytes();
    cluster_options options;
    options.domains = spreadOver(load.daemons, std::max<std::size_t>(load.domains, 1));
    options.document = documentOf(load, time_point{});
    cluster all(options);
    if (load.routes > 0) {
        all.surroundings = [](std::size_t, const version_move &) {
            return move_context{100, 10, 16};
        };
    }
    std::uint64_t second = 0;
    const auto runSeconds = [&](duration span) {
        for (auto left = span; left > duration{}; left -= 1s) {
            feed(all, load, ++second);
            all.runFor(1s);
        }
    };
    runSeconds(warmUp);
    const cluster_counters before = all.counters();
    const double processorBefore = processorSeconds();
    runSeconds(measured);
    const double scale = std::chrono::duration<double>(measured).count() * static_cast<double>(load.daemons);
    cluster_cost cost;
    cost.processorPerSecond = (processorSeconds() - processorBefore) / scale;
    cost.messagesPerSecond = static_cast<double>(all.counters().messages - before.messages) / scale;
    cost.bytesPerSecond = static_cast<double>(all.counters().bytes - before.bytes) / scale;
    cost.bytesHeld = (heapBytes() - heapBefore) / static_cast<double>(load.daemons);
    return cost;
}

void printSlopes(const char *what, const std::vector<double> &sizes, const std::function<cluster_load(std::size_t)> &loadAt)
{
    std::vector<point> processor;
    std::vector<point> messages;
    std::vector<point> bytes;
    std::vector<point> held;
    for (const double size : sizes) {
        const cluster_cost cost = costOf(loadAt(static_cast<std::size_t>(size)));
        processor.push_back({size, cost.processorPerSecond * 100.0});
        messages.push_back({size, cost.messagesPerSecond});
        bytes.push_back({size, cost.bytesPerSecond});
        held.push_back({size, cost.bytesHeld});
    }
    const std::string name = what;
    printFit((name + ": processor").c_str(), "% of a core", processor);
    printFit((name + ": messages sent").c_str(), "a second", messages);
    printFit((name + ": bytes sent").c_str(), "a second", bytes);
    printFit((name + ": heap").c_str(), "bytes", held);
}

// Open streams of one daemon; callers and stand-ins live in the same process, so the slope is an upper bound.
void printOpenRequestSlope()
{
    std::vector<point> held;
    for (const double size : {50.0, 100.0, 200.0, 400.0}) {
        deployment_options options;
        options.daemons = 1;
        options.failureDomains = {"d0"};
        options.initialConcurrency = 1000;
        options.maxConcurrency = 1000;
        options.accountLimit = 100000;
        options.engine.maxConcurrentStreams = 1000;
        options.engine.betweenTokens = 100ms;
        deployment all(options);
        all.waitReady();
        const double before = heapBytes();
        std::vector<std::thread> threads;
        for (int i = 0; i < static_cast<int>(size); ++i) {
            threads.emplace_back([&all] { all.completion(0, "chat", std::string(1000, 'p'), 30); });
        }
        all.waitUntil([&] { return all.at(0).openRequests() >= static_cast<std::size_t>(size); }, 10s);
        std::this_thread::sleep_for(1s);
        held.push_back({size, heapBytes() - before});
        for (std::thread &thread : threads) {
            thread.join();
        }
    }
    printFit("open streams: heap, callers and stand-ins included", "bytes", held);
}

void printTableSlope()
{
    std::vector<point> build;
    std::vector<point> held;
    for (const double size : {50.0, 100.0, 200.0, 400.0, 1000.0}) {
        const double before = heapBytes();
        fleet all("d0", 1);
        all.setDocument(std::make_shared<revisioned_document>(makeRevisioned(1, documentOf({}, time_point{}))));
        std::vector<instance_record> list;
        for (int i = 0; i < static_cast<int>(size); ++i) {
            list.push_back({"endpoint-" + std::to_string(i), "d0", instance_class::Reclaimable, "s", "v1", {"10.0.0.1", 1}, {}});
        }
        all.onInstanceList(list, time_point{});
        const auto table = all.buildTable();
        held.push_back({size, heapBytes() - before});
        const double begin = processorSeconds();
        constexpr int rounds = 50;
        for (int i = 0; i < rounds; ++i) {
            all.buildTable();
        }
        build.push_back({size, (processorSeconds() - begin) / rounds * 1e6});
    }
    printFit("endpoints known: building the routing table", "microseconds", build);
    printFit("endpoints known: heap of fleet and table", "bytes", held);
}

void printDocumentSlope()
{
    std::vector<point> adopt;
    std::vector<point> size;
    for (const double accounts : {5.0, 50.0, 200.0, 500.0}) {
        cluster_load load;
        load.accounts = static_cast<std::size_t>(accounts);
        const std::string text = documentOf(load, time_point{});
        const double begin = processorSeconds();
        constexpr int rounds = 5;
        for (int i = 0; i < rounds; ++i) {
            makeRevisioned(1, text);
        }
        adopt.push_back({static_cast<double>(text.size()) / 1000.0, (processorSeconds() - begin) / rounds * 1e3});
        size.push_back({accounts, static_cast<double>(text.size())});
    }
    printFit("document (per KB): reading and checking", "milliseconds", adopt);
}

} // namespace

void slopes()
{
    printSlopes("daemons in one domain", {8, 16, 33, 64}, [](std::size_t n) { return cluster_load{n, 1, 0, 0, 0}; });
    printSlopes("daemons in 11 domains", {22, 44, 88, 176}, [](std::size_t n) { return cluster_load{n, 11, 0, 0, 0}; });
    printSlopes("endpoints reporting to 33 daemons", {0, 25, 50, 91}, [](std::size_t n) { return cluster_load{33, 1, n, 0, 0}; });
    printSlopes("routes under a move at 33 daemons", {0, 2, 4, 8}, [](std::size_t n) { return cluster_load{33, 1, 0, n, 0}; });
    printSlopes("accounts with demand at 33 daemons", {0, 5, 10, 20}, [](std::size_t n) { return cluster_load{33, 1, 0, 0, n}; });
    printTableSlope();
    printDocumentSlope();
    printOpenRequestSlope();
}

} // namespace chicoryrouter::bench
