// Calling, and looking at what comes back.
#include "soak/callers.h"

#include "chicoryrouter/random.h"
#include "shell/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <array>

namespace chicoryrouter::soak {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr duration callerWaits = 8s; // what callers tell
constexpr duration callerGivesUp = 14s;
constexpr duration recoversWithin = 25s;
constexpr std::size_t mostKeptCalls = 40; // then a caller takes new connections

asio::awaitable<void> carryOut(http_client &client, address where, http_call call, call_record &record)
{
    try {
        const std::unique_ptr<http_stream> stream = co_await client.open(where, std::move(call), systemNow() + callerGivesUp, false, nullptr);
        record.status = stream->status;
        record.answeredId = std::string(findHeader(stream->headers, "X-Request-Id"));
        record.sealed = !findHeader(stream->headers, "X-Response-Seal").empty();
        std::array<char, 4096> buffer{};
        while (const std::size_t got = co_await stream->readSome(buffer.data(), buffer.size())) {
            record.body.append(buffer.data(), got);
        }
        record.whole = true;
    } catch (const http_failure &) {
        record.whole = false; // what came stays in the record
    }
}

call_record drawCall(stage &all, seeded_random &random, const std::string &id)
{
    call_record record;
    record.id = id;
    record.kind = static_cast<call_kind>(uniformBelow(random, static_cast<std::uint64_t>(call_kind::Count)));
    record.daemon = uniformBelow(random, all.routers.size());
    record.revision = all.revision;
    constexpr std::array<const char *, 4> prefixes = {"/order/", "/look/", "/write/", "/chat/"};
    const bool probe = record.kind == call_kind::Probe;
    record.target = (probe ? "/v" + std::to_string(record.revision) + "/" : prefixes.at(static_cast<std::size_t>(record.kind))) + id;
    return record;
}

} // namespace

void callOn(stage &all, ledger &seen, const std::atomic<bool> &stopping, std::uint64_t seed, std::size_t self)
{
    seeded_random random(seed * 1000 + self);
    asio::io_context context(1);
    std::unique_ptr<http_client> client;
    std::size_t calls = 0;
    while (!stopping) {
        if (calls++ % mostKeptCalls == 0) {
            client = std::make_unique<http_client>(context.get_executor());
        }
        call_record record = drawCall(all, random, "s" + std::to_string(seed) + "-" + std::to_string(self) + "-" + std::to_string(calls));
        const bool changes = record.kind == call_kind::Order || record.kind == call_kind::Draft || record.kind == call_kind::Chat;
        http_call call;
        call.method = changes ? "POST" : "GET";
        call.target = record.target;
        call.headers = {{"Host", "tassel.example"}, {"X-Request-Id", record.id}, {"X-Api-Key", "key-1"}, {"X-Deadline-Ms", std::to_string(callerWaits / 1ms)}};
        record.incarnation = all.incarnations[record.daemon];
        record.former = all.builds.isFormer(record.incarnation);
        record.begun = systemNow();
        asio::co_spawn(context, carryOut(*client, all.routers[record.daemon]->own().gateway, std::move(call), record), asio::detached);
        context.restart();
        context.run();
        record.ended = systemNow();
        record.metStart = record.incarnation != all.incarnations[record.daemon];
        seen.add(std::move(record));
        std::this_thread::sleep_for(std::chrono::milliseconds(uniformBelow(random, 30)));
    }
}

bool serves(stage &all, std::size_t which)
{
    const time_point until = systemNow() + recoversWithin;
    asio::io_context context(1);
    while (systemNow() < until) {
        http_client client(context.get_executor());
        call_record record;
        http_call call;
        call.target = "/look/ready";
        call.headers = {{"Host", "tassel.example"}, {"X-Request-Id", "ready"}, {"X-Api-Key", "key-1"}, {"X-Deadline-Ms", "1000"}};
        asio::co_spawn(context, carryOut(client, all.routers[which]->own().gateway, std::move(call), record), asio::detached);
        context.restart();
        context.run();
        if (record.status == 200 && record.whole) {
            return true;
        }
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

} // namespace chicoryrouter::soak
