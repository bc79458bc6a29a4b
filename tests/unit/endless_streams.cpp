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
            const std::uint64_t last = std::min({events, number + batch - 1, number > pauseAfter ? endless : pauseAfter});
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

    std::uint64_t events;
    bool chunked;
    bool repeatsOneNumber = false;
    std::uint64_t pauseAfter = endless; // events, until goesOn
    std::atomic<bool> goesOn{false};
    std::atomic<int> requests{0};
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

} // namespace

// review/15: an entry stayed behind for each event that the caller had read, until the process was over its memory.
Test(endless_streams, events_that_were_read_take_no_memory)
{
    constexpr std::uint64_t events = 1'500'000;
    streaming_endpoint writer(events);
    small_deployment all;
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
