// Real daemons on loopback: streamed tokens, plain requests beside a bare pass-through, added time to the first token, and a hundred
// daemons at once.
#include "benchmarks.h"

#include "pass_through.h"
#include "shell/clock.h"
#include "standin/deployment.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <future>
#include <malloc.h>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

DEFINE_int32(hundred_daemons, 100, "hundred: daemons at once");
DEFINE_int32(hundred_seconds, 120, "hundred: how long");

namespace chicoryrouter::bench {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

constexpr unsigned callers = 500;
constexpr unsigned tokensPerStream = 1000;
constexpr duration plainFor = 3s;
constexpr unsigned plainConnections = 64;
constexpr unsigned loadThreads = 2;

http_call completionCall(unsigned number, unsigned tokens)
{
    http_call call;
    call.method = "POST";
    call.target = "/v1/completions";
    call.headers = bearer(demoToken);
    call.body = nlohmann::json({{"model", "chat"}, {"prompt", "stream " + std::to_string(number)}, {"max_tokens", tokens}, {"stream", true}}).dump();
    return call;
}

http_call stockCall()
{
    http_call call;
    call.target = "/stock/cord";
    call.headers = bearer(demoToken);
    return call;
}

// Ends of answers that were not whole, each kind once, to be printed with the figures.
std::set<std::string> &failedAnswers()
{
    static std::set<std::string> answers;
    return answers;
}

std::mutex &failedLock()
{
    static std::mutex lock;
    return lock;
}

// Reads a whole streamed answer; true when it ended with its [DONE].
asio::awaitable<bool> readStream(http_client &client, address where, http_call call, duration *firstToken)
{
    const time_point begin = systemNow();
    const auto stream = co_await client.open(where, std::move(call), begin + 120s, false, nullptr);
    std::array<char, 65536> buffer{};
    std::string tail;
    bool first = true;
    while (const std::size_t got = co_await stream->readSome(buffer.data(), buffer.size())) {
        if (first && firstToken != nullptr) {
            *firstToken = systemNow() - begin;
        }
        first = false;
        tail.append(buffer.data(), got);
        tail.erase(0, tail.size() > 64 ? tail.size() - 64 : 0);
    }
    const bool whole = tail.find("[DONE]") != std::string::npos;
    if (!whole) {
        const std::lock_guard guard(failedLock());
        failedAnswers().insert(std::to_string(stream->status) + " ..." + tail);
    }
    co_return whole;
}

deployment_options fastDeployment()
{
    deployment_options options;
    options.daemons = 1;
    options.threadsPerDaemon = 4;
    options.standinThreads = 3;
    options.failureDomains = {"fd-1"};
    options.enginesPerDomain = 4;
    options.accountLimit = 100000;
    options.initialConcurrency = 1000;
    options.maxConcurrency = 1000;
    options.engine.maxConcurrentStreams = 1000;
    options.engine.prefillDelay = 1ms;
    options.engine.betweenTokens = 1ms;
    options.engine.tokensPerWrite = 8;
    return options;
}

struct rate_result
{
    double perSecond = 0.0;
    double p50Millis = 0.0;
    double p99Millis = 0.0;
};

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}

rate_result plainRate(const address &where)
{
    worker_pool load(loadThreads);
    std::vector<std::future<std::vector<double>>> running;
    const time_point end = systemNow() + plainFor;
    for (unsigned i = 0; i < plainConnections; ++i) {
        asio::io_context &context = load.nextContext();
        running.push_back(asio::co_spawn(
            context,
            [&context, where, end]() -> asio::awaitable<std::vector<double>> {
                http_client client(context.get_executor());
                std::vector<double> millis;
                while (systemNow() < end) {
                    const time_point begin = systemNow();
                    http_call call = stockCall();
                    const http_response response = co_await client.call(where, std::move(call), end + 5s, 8 * 1024 * 1024);
                    if (response.status == 200) {
                        millis.push_back(std::chrono::duration<double, std::milli>(systemNow() - begin).count());
                    }
                }
                co_return millis;
            },
            asio::use_future));
    }
    std::vector<double> all;
    for (auto &part : running) {
        const std::vector<double> millis = part.get();
        all.insert(all.end(), millis.begin(), millis.end());
    }
    return {static_cast<double>(all.size()) / std::chrono::duration<double>(plainFor).count(), percentile(all, 0.5), percentile(all, 0.99)};
}

// First-token times of requests that arrive evenly at `perSecond`.
rate_result firstTokens(const address &where, const http_call &call, double perSecond, duration span)
{
    worker_pool load(loadThreads);
    std::vector<std::future<double>> running;
    const time_point begin = systemNow();
    const auto count = static_cast<unsigned>(perSecond * std::chrono::duration<double>(span).count());
    for (unsigned i = 0; i < count; ++i) {
        asio::io_context &context = load.nextContext();
        const time_point start = begin + duration(static_cast<std::int64_t>(1e6 * i / perSecond));
        running.push_back(asio::co_spawn(
            context,
            [&context, where, call, start]() -> asio::awaitable<double> {
                asio::steady_timer timer(context, start - systemNow());
                co_await timer.async_wait(asio::use_awaitable);
                http_client client(context.get_executor());
                duration first{};
                co_await readStream(client, where, call, &first);
                co_return std::chrono::duration<double, std::milli>(first).count();
            },
            asio::use_future));
    }
    std::vector<double> millis;
    for (auto &part : running) {
        millis.push_back(part.get());
    }
    return {perSecond, percentile(millis, 0.5), percentile(millis, 0.99)};
}

http_call engineCall(unsigned tokens)
{
    http_call call;
    call.method = "POST";
    call.target = "/generate";
    call.body = nlohmann::json({{"id", "direct"}, {"attempt", 1}, {"prompt", "stream"}, {"max_tokens", tokens}}).dump();
    return call;
}

double processorSeconds()
{
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    return static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) + static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) * 1e-6;
}

double metricOf(const std::string &text, const std::string &name)
{
    const auto at = text.find("chicoryrouter_" + name + " ");
    return at == std::string::npos ? 0.0 : std::atof(text.c_str() + at + name.size() + 15);
}

} // namespace

void streams()
{
    deployment all(fastDeployment());
    all.waitReady();
    worker_pool load(loadThreads);
    const time_point begin = systemNow();
    std::vector<std::future<bool>> running;
    std::vector<std::unique_ptr<http_client>> clients;
    for (unsigned i = 0; i < callers; ++i) {
        asio::io_context &context = load.nextContext();
        clients.push_back(std::make_unique<http_client>(context.get_executor()));
        running.push_back(
            asio::co_spawn(context, readStream(*clients.back(), all.at(0).gateway(), completionCall(i, tokensPerStream), nullptr), asio::use_future));
    }
    unsigned whole = 0;
    for (auto &one : running) {
        whole += one.get() ? 1 : 0;
    }
    const double seconds = std::chrono::duration<double>(systemNow() - begin).count();
    std::printf(
        "%u of %u streams whole, %.0f tokens/s through one daemon with 4 threads (%.2f s)\n", whole, callers, whole * tokensPerStream / seconds, seconds);
    load.stop();
}

void plain()
{
    deployment all(fastDeployment());
    all.waitReady();
    worker_pool passing(4);
    const pass_through bare(passing, all.plainAt(0).listenAddress());
    for (int round = 0; round < 3; ++round) {
        const rate_result direct = plainRate(all.plainAt(0).listenAddress());
        const rate_result through = plainRate(bare.where());
        const rate_result daemon = plainRate(all.at(0).gateway());
        std::printf("direct %.0f/s, pass-through %.0f/s (p99 %.2f ms), daemon %.0f/s (p99 %.2f ms): daemon/pass-through %.2f\n", direct.perSecond,
            through.perSecond, through.p99Millis, daemon.perSecond, daemon.p99Millis, daemon.perSecond / through.perSecond);
    }
    passing.stop();
}

void firsttoken()
{
    deployment all(fastDeployment());
    all.waitReady();
    constexpr unsigned tokens = 20;
    constexpr double most = 2000.0; // requests/s of 20 tokens, about what one daemon bears here beside stand-ins and load
    std::printf("%8s %16s %16s %16s %16s\n", "load", "direct p50 ms", "daemon p50 ms", "direct p99 ms", "daemon p99 ms");
    for (const double part : {0.1, 0.5, 0.9}) {
        const rate_result direct = firstTokens(all.engineAt(0).listenAddress(), engineCall(tokens), most * part, 3s);
        const rate_result daemon = firstTokens(all.at(0).gateway(), completionCall(1, tokens), most * part, 3s);
        std::printf("%7.0f%% %16.2f %16.2f %16.2f %16.2f\n", part * 100, direct.p50Millis, daemon.p50Millis, direct.p99Millis, daemon.p99Millis);
    }
}

void hundred()
{
    deployment_options options;
    options.daemons = static_cast<unsigned>(FLAGS_hundred_daemons);
    options.threadsPerDaemon = 1;
    options.standinThreads = 2;
    options.failureDomains = {"fd-1", "fd-2", "fd-3"};
    options.enginesPerDomain = 30;
    options.pollInterval = 1s;
    options.gossipInterval = 500ms;
    const double heapBefore = static_cast<double>(mallinfo2().uordblks);
    deployment all(options);
    std::printf("ready: %s\n", all.waitReady(60s) ? "yes" : "no");
    std::this_thread::sleep_for(10s);
    const auto sum = [&](const std::string &name) {
        double total = 0.0;
        for (std::size_t i = 0; i < all.size(); ++i) {
            total += metricOf(all.at(i).metricsText(), name);
        }
        return total;
    };
    const auto count = static_cast<double>(all.size());
    const double processor = processorSeconds();
    const double sent = sum("peer_bytes_sent_total");
    const double calls = sum("peer_calls_total");
    const double reads = sum("store_reads_total") + sum("store_watches_total");
    const time_point begin = systemNow();
    std::this_thread::sleep_for(std::chrono::seconds(FLAGS_hundred_seconds));
    const double seconds = std::chrono::duration<double>(systemNow() - begin).count();
    std::printf("%zu daemons, %.0f s: %.3f%% of a core per daemon (stand-ins included), %.0f bytes/s sent per daemon, %.2f peer calls/s per daemon, "
                "%.2f store calls/s in all, %.0f KB heap per daemon (stand-ins included)\n",
        all.size(), seconds, 100.0 * (processorSeconds() - processor) / seconds / count, (sum("peer_bytes_sent_total") - sent) / seconds / count,
        (sum("peer_calls_total") - calls) / seconds / count, (sum("store_reads_total") + sum("store_watches_total") - reads) / seconds,
        (static_cast<double>(mallinfo2().uordblks) - heapBefore) / count / 1000.0);
}

} // namespace chicoryrouter::bench
