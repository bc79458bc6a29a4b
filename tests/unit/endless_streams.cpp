// Streams whose well-formed events don't end, and long streams that are sound: the former end the request, the latter reach their callers whole,
// and what a caller has read takes no memory.
#include "support/raw_endpoint.h"
#include "support/small_deployment.h"
#include "support/socket_caller.h"

#include "shell/metrics.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <limits>
#include <string>
#include <thread>

using namespace chicoryrouter;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;
using test::eventually;
using test::raw_endpoint;
using test::small_deployment;

namespace {

constexpr double mebibyte = 1024.0 * 1024.0;
constexpr std::uint64_t endless = std::numeric_limits<std::uint64_t>::max();

enum class framing {
    Chunked,
    EndsWithConnection,
};

// Answers each request with `events` numbered events as fast as they are taken.
struct streaming_endpoint
{
    explicit streaming_endpoint(std::uint64_t count, framing form = framing::Chunked)
        : events(count)
        , chunked(form == framing::Chunked)
    {
    }

    void talk(tcp::socket &socket)
    {
        for (std::string head = test::readRequestHead(socket); !head.empty(); head = test::readRequestHead(socket)) {
            if (head.find("/kv/export") != std::string::npos) {
                ++exports;
                write(socket, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            ++requests;
            std::string answer = "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nContent-Type: text/event-stream\r\nX-Request-Id: ";
            answer += test::headerIn(head, "X-Request-Id") + (chunked ? "\r\nTransfer-Encoding: chunked\r\n\r\n" : "\r\nConnection: close\r\n\r\n");
            if (!write(socket, answer) || !writeEvents(socket) || !chunked) {
                return;
            }
            write(socket, "0\r\n\r\n");
        }
    }

    bool writeEvents(tcp::socket &socket)
    {
        constexpr std::uint64_t batch = 2000;
        for (std::uint64_t number = 1; number <= events && !endpoint.isStopping();) {
            if (number > pauseAfter && !goesOn) {
                std::this_thread::sleep_for(1ms);
                continue;
            }
            std::string text;
            const std::uint64_t last = std::min({events.load(), number + batch - 1, number > pauseAfter ? endless : pauseAfter});
            for (; number <= last; ++number) {
                text += "id:" + std::to_string(repeatsOneNumber ? 1 : number) + "\n\n";
            }
            sent = number - 1;
            if (!write(socket, chunked ? test::chunkOf(text) : text)) {
                return false;
            }
        }
        return true;
    }

    static bool write(tcp::socket &socket, const std::string &text)
    {
        boost::system::error_code code;
        asio::write(socket, asio::buffer(text), code);
        return !code;
    }

    std::atomic<std::uint64_t> events; // of each answer
    bool chunked;
    bool repeatsOneNumber = false;
    std::uint64_t pauseAfter = endless; // events, until goesOn
    std::atomic<bool> goesOn{false};
    std::atomic<int> requests{0};
    std::atomic<int> exports{0};        // calls for a KV cache, which the platform's endpoints don't know
    std::atomic<std::uint64_t> sent{0}; // events of the newest answer
    raw_endpoint endpoint{[this](tcp::socket &socket) {
        talk(socket);
    }}; // last
};

// Reads a stream of events as fast as they come and keeps nothing of it but their number.
struct counting_caller
{
    explicit counting_caller(const address &where) { cr_assert(socket.connect(where)); }

    void ask(const std::string &path, const std::string &id, const std::string &headers = {})
    {
        cr_assert(socket.send(test::requestHead("POST", path, id, headers)));
    }

    // false: the answer is whole, or the connection has ended.
    bool readSome()
    {
        std::array<char, 65536> buffer{};
        const ssize_t got = socket.readSome(buffer.data(), buffer.size());
        if (got <= 0) {
            return false;
        }
        rest.append(buffer.data(), static_cast<std::size_t>(got));
        for (std::size_t at = rest.find(mark); at != std::string::npos; at = rest.find(mark, at + mark.size())) {
            ++events;
        }
        const std::size_t end = rest.rfind(mark);
        rest.erase(0, end == std::string::npos ? rest.size() - std::min(rest.size(), lastChunk.size()) : end + 1);
        return !isWhole();
    }

    // Reads on until the end of the answer.
    void readAll()
    {
        while (readSome()) {
        }
    }

    [[nodiscard]] bool isWhole() const
    {
        return rest.size() >= lastChunk.size() && rest.compare(rest.size() - lastChunk.size(), lastChunk.size(), lastChunk) == 0;
    }

    static inline const std::string mark = "id:";
    static inline const std::string lastChunk = "0\r\n\r\n";
    test::socket_caller socket;
    std::uint64_t events = 0;
    std::string rest; // of what came, for marks and the last chunk that come in two pieces
};

// Only `writer` serves the model.
void onlyWriter(small_deployment &all, const raw_endpoint &writer)
{
    all.store.put("servers/raw-writer", writer.entry("writer"));
    for (const char *other : {"writer-1", "writer-2"}) {
        all.store.remove(std::string("servers/") + other);
    }
    cr_assert(eventually([&] { return all.routers.front()->isLeaving("writer-1") && all.routers.front()->isLeaving("writer-2"); }));
    cr_assert(eventually([&] { return all.routers.front()->usableEndpointCount() == 3; }));
}

constexpr std::uint64_t statedTokens = 80;
const std::string statedUsage = "X-Token-Usage: 10," + std::to_string(statedTokens) + "\r\n";

// The caller's stream breaks off soon, after few more events than it asked for, and no other endpoint gets the request.
void checkThatItBreaksOff(small_deployment &all, streaming_endpoint &writer, const std::string &path, const std::string &headers, std::uint64_t most)
{
    counting_caller caller(all.routers.front()->gateway());
    const time_point begun = systemNow();
    caller.ask(path, "endless-1", headers);
    caller.readAll();
    cr_assert_not(caller.isWhole(), "the stream ended as complete after %lu events", caller.events);
    cr_assert_leq(caller.events, most, "%lu events reached the caller", caller.events);
    cr_assert_lt((systemNow() - begun) / 1ms, 5000);
    cr_assert(eventually([&] { return writer.endpoint.open() == 0; }), "the endpoint is still read");
    cr_assert_eq(writer.requests.load(), 1);
    cr_assert_eq(all.runsOf("endless-1"), 0, "another endpoint went on with it");
}

} // namespace

// review/15: an entry stayed behind for each event that the caller had read, until the process was over its memory.
Test(endless_streams, events_that_were_read_take_no_memory)
{
    constexpr std::uint64_t events = 1'500'000;
    streaming_endpoint writer(events);
    small_deployment all;
    all.answers.pieces = events;
    all.start();
    onlyWriter(all, writer.endpoint);
    counting_caller caller(all.routers.front()->gateway());
    const double before = residentBytes();
    caller.ask("/chat/1", "long-1");
    double growth = 0.0;
    while (caller.readSome()) {
        growth = std::max(growth, residentBytes() - before);
    }
    cr_assert_eq(caller.events, events, "%lu events of %lu reached the caller", caller.events, events);
    cr_assert(caller.isWhole());
    cr_assert_lt(growth, 16.0 * mebibyte, "the process has grown by %.0f bytes", growth);
}

// review/15: a stream far beyond the request's own limit was passed on until the caller's deadline.
Test(endless_streams, more_events_than_the_request_allows)
{
    streaming_endpoint writer(endless);
    small_deployment all;
    all.start();
    onlyWriter(all, writer.endpoint);
    checkThatItBreaksOff(all, writer, "/write/1", statedUsage, statedTokens * 5);
}

Test(endless_streams, more_events_than_the_request_allows_in_an_answer_without_length)
{
    streaming_endpoint writer(endless, framing::EndsWithConnection);
    small_deployment all;
    all.start();
    onlyWriter(all, writer.endpoint);
    checkThatItBreaksOff(all, writer, "/write/1", statedUsage, statedTokens * 5);
}

// What the caller has of it is no answer: another endpoint that went on behind it would make it look complete.
Test(endless_streams, a_stream_that_may_be_resumed_is_not_resumed_behind_too_many_events)
{
    streaming_endpoint writer(endless);
    writer.pauseAfter = statedTokens;
    small_deployment all;
    all.start();
    onlyWriter(all, writer.endpoint);
    std::thread others([&] { // a sound endpoint is back while the stream is on
        cr_expect(eventually([&] { return writer.sent == statedTokens; }));
        all.store.put("servers/writer-1", all.writer1.entry("writer", "west-1"));
        cr_expect(eventually([&] { return !all.routers.front()->isLeaving("writer-1"); }));
        writer.goesOn = true;
    });
    checkThatItBreaksOff(all, writer, "/chat/1", statedUsage, statedTokens * 5);
    others.join();
}

// Nothing of it reaches the caller, so no reader holds the endpoint up.
Test(endless_streams, one_event_again_and_again)
{
    streaming_endpoint writer(endless);
    writer.repeatsOneNumber = true;
    small_deployment all;
    all.start();
    onlyWriter(all, writer.endpoint);
    checkThatItBreaksOff(all, writer, "/write/1", statedUsage, 1);
}

Test(endless_streams, the_settings_decide_where_the_request_states_no_limit)
{
    constexpr std::uint32_t allowed = 5000;
    streaming_endpoint writer(endless);
    small_deployment all;
    all.answers.pieces = allowed;
    all.start();
    onlyWriter(all, writer.endpoint);
    checkThatItBreaksOff(all, writer, "/write/1", {}, allowed);
}

// A sound endpoint may put several tokens into an event, or one token into several.
Test(endless_streams, sound_streams_that_merge_or_split_tokens_are_whole)
{
    streaming_endpoint writer(0);
    small_deployment all;
    all.start();
    onlyWriter(all, writer.endpoint);
    for (const std::uint64_t events : {std::uint64_t{1}, statedTokens / 5, statedTokens, statedTokens * 4}) {
        writer.events = events;
        counting_caller caller(all.routers.front()->gateway());
        caller.ask("/chat/1", "sound-" + std::to_string(events), statedUsage);
        caller.readAll();
        cr_assert(caller.isWhole(), "broken off after %lu of %lu events", caller.events, events);
        cr_assert_eq(caller.events, events);
    }
}

// The answer to such a call had no limit, and nobody expects it there. The stream goes on at another endpoint without it.
Test(endless_streams, a_stream_that_moves_asks_for_no_export_of_a_kv_cache)
{
    streaming_endpoint writer(endless);
    writer.pauseAfter = 1;
    small_deployment all;
    all.start();
    onlyWriter(all, writer.endpoint);
    counting_caller caller(all.routers.front()->gateway());
    caller.ask("/chat/1", "moves-1");
    cr_assert(eventually([&] { return writer.sent == 1; }));
    all.store.put("servers/writer-1", all.writer1.entry("writer", "west-1"));
    cr_assert(eventually([&] { return !all.routers.front()->isLeaving("writer-1"); }));
    nlohmann::json entry = nlohmann::json::parse(writer.endpoint.entry("writer"));
    entry["State"] = "draining";
    entry["Spot"] = true;
    entry["leaves_ms"] = 5000;
    all.store.put("servers/raw-writer", entry.dump());
    caller.readAll();
    cr_assert(caller.isWhole());
    cr_assert_eq(all.runsOf("moves-1"), 1, "the stream did not move");
    cr_assert_eq(writer.exports.load(), 0);
}
