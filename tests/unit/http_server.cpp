// The HTTP server against callers that misbehave below HTTP, and against its own end.
#include "shell/http.h"
#include "support/waiting.h"

#include "chicoryrouter/error.h"
#include "shell/clock.h"
#include "shell/worker_pool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <array>
#include <atomic>
#include <ctime>
#include <future>
#include <mutex>
#include <thread>

#include <sys/resource.h>

using namespace chicoryrouter;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

using test::eventually;
using test::patience;

// What a served request was, and whether its caller was noticed to leave.
struct served_requests
{
    std::mutex lock;
    std::vector<std::string> targets;
    std::vector<std::string> bodies;
    std::atomic<int> gone{0};
    std::atomic<std::int64_t> workMillis{0}; // before the answer

    std::vector<std::string> seen()
    {
        const std::lock_guard guard(lock);
        return targets;
    }
};

asio::awaitable<void> answerWithTarget(served_requests &all, http_exchange &exchange)
{
    {
        const std::lock_guard guard(all.lock);
        all.targets.push_back(exchange.request.target);
        all.bodies.push_back(exchange.request.body);
    }
    exchange.watchCaller([&all] { ++all.gone; });
    const std::string target = exchange.request.target;
    asio::steady_timer timer(exchange.executor(), std::chrono::milliseconds(all.workMillis.load()));
    co_await timer.async_wait(asio::use_awaitable);
    co_await exchange.respond(200, "text/plain", target);
}

struct small_server
{
    explicit small_server(http_server_limits limits = {})
        : server(
            workers, {"127.0.0.1", 0}, [this](http_exchange &exchange) { return answerWithTarget(requests, exchange); }, limits)
    {
    }

    ~small_server()
    {
        server.abortAll();
        workers.stop();
    }

    served_requests requests;
    worker_pool workers{2};
    http_server server;
};

struct raw_caller
{
    explicit raw_caller(const http_server &server)
        : socket(context)
    {
        socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), server.port()));
    }

    void send(const std::string &bytes)
    {
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
    }

    // All that comes until the server closes.
    std::string readToEnd()
    {
        std::string text;
        std::array<char, 4096> buffer{};
        boost::system::error_code code;
        while (!code) {
            text.append(buffer.data(), socket.read_some(asio::buffer(buffer), code));
        }
        return text;
    }

    asio::io_context context;
    tcp::socket socket;
};

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++count;
    }
    return count;
}

// What one connection gets back for `bytes`, with its own side left open until the server is done.
std::string talk(small_server &all, const std::string &bytes)
{
    raw_caller caller(all.server);
    caller.send(bytes);
    return caller.readToEnd();
}

} // namespace

Test(http_server, requests_sent_ahead_are_answered_in_their_order)
{
    small_server all;
    all.requests.workMillis = 20;
    const std::string text = talk(all,
        "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nPOST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    cr_assert(all.requests.seen() == std::vector<std::string>({"/1", "/2", "/3"}));
    cr_assert_eq(countOf(text, "HTTP/1.1 200"), 3);
    cr_assert(text.find("/1") < text.find("/2") && text.find("/2") < text.find("/3"), "%s", text.c_str());
    cr_assert_eq(all.requests.gone, 0);
}

Test(http_server, a_caller_that_sent_ahead_is_noticed_to_leave)
{
    small_server all;
    all.requests.workMillis = 5000;
    {
        raw_caller caller(all.server);
        caller.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        cr_assert(eventually([&] { return all.requests.seen().size() == 1; }));
        caller.send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
        std::this_thread::sleep_for(50ms);
    }
    cr_assert(eventually([&] { return all.requests.gone == 1; }), "the close behind a request sent ahead was not noticed");
    cr_assert_eq(all.requests.seen().size(), 1);
}

Test(http_server, a_closed_sending_side_counts_as_leaving)
{
    small_server all;
    all.requests.workMillis = 3000;
    raw_caller caller(all.server);
    caller.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert(eventually([&] { return all.requests.seen().size() == 1; }));
    caller.socket.shutdown(tcp::socket::shutdown_send);
    cr_assert(eventually([&] { return all.requests.gone == 1; }));
}

// Two readings of where a request ends would let one caller put words into another's mouth at the endpoint.
Test(http_server, requests_whose_end_could_be_read_in_two_ways_are_refused)
{
    const std::vector<std::string> heads = {
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 40\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: +0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0x\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n",
    };
    for (const std::string &bytes : heads) {
        small_server all;
        const std::string text = talk(all, bytes);
        cr_assert(all.requests.seen().empty(), "served: %s", bytes.c_str());
        cr_assert_eq(countOf(text, "HTTP/1.1 4"), 1, "answer to %s was %s", bytes.c_str(), text.c_str());
    }
}

Test(http_server, garbage_gets_an_error_and_a_closed_connection)
{
    small_server all;
    for (const std::string bytes : {"\x16\x03\x01\x02", "GET\r\n\r\n", "GET / HTTP/9.9\r\n\r\n", "G\x01T / HTTP/1.1\r\n\r\n"}) {
        const std::string text = talk(all, bytes + std::string(64, '\n'));
        cr_assert(text.empty() || text.substr(0, 10) == "HTTP/1.1 4", "%s", text.c_str());
    }
    cr_assert(all.requests.seen().empty());
}

Test(http_server, bounds_on_headers_and_bodies_hold_for_both_framings)
{
    http_server_limits limits;
    limits.maxHeaderBytes = 1000;
    limits.maxBodyBytes = 100;
    small_server all(limits);
    cr_assert_eq(countOf(talk(all, "GET /h HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(2000, 'x') + "\r\n\r\n"), "HTTP/1.1 431"), 1);
    cr_assert_eq(countOf(talk(all, "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n" + std::string(101, 'x')), "HTTP/1.1 413"), 1);
    cr_assert_eq(
        countOf(talk(all, "POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + std::string(101, 'x') + "\r\n0\r\n\r\n"), "HTTP/1.1 413"),
        1);
    cr_assert(all.requests.seen().empty());
    const std::string text
        = talk(all, "POST /d HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n");
    cr_assert_eq(countOf(text, "HTTP/1.1 200"), 1);
    cr_assert(all.requests.bodies.back() == "abcde");
}

// The end of a planned stop: who is being served is answered, also when the request came in just then; who is idle is let go.
Test(http_server, closing_idle_connections_cuts_nobody_who_is_served)
{
    small_server all;
    raw_caller idle(all.server);
    idle.send("GET /idle HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert(eventually([&] { return all.requests.seen().size() == 1 && all.server.busy() == 0; }));
    raw_caller waiting(all.server); // connected, and says nothing yet
    cr_assert(eventually([&] { return all.server.connections() == 2; }));
    all.requests.workMillis = 300;
    raw_caller served(all.server);
    served.send("GET /served HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert(eventually([&] { return all.requests.seen().size() == 2; }));
    all.server.close();
    waiting.send("GET /late HTTP/1.1\r\nHost: a\r\n\r\n"); // accepted before: it is answered
    cr_assert(eventually([&] { return all.requests.seen().size() == 3; }));
    all.server.closeIdle();
    cr_assert_eq(countOf(idle.readToEnd(), "HTTP/1.1 200"), 1);
    cr_assert_eq(countOf(served.readToEnd(), "\r\n\r\n/served"), 1);
    cr_assert_eq(countOf(waiting.readToEnd(), "\r\n\r\n/late"), 1);
    cr_assert(eventually([&] { return all.server.busy() == 0; }));
}

// Connections that end by themselves while all are being closed: the closer may be the last to hold one.
Test(http_server, closing_all_while_connections_end_does_not_stand_still)
{
    constexpr int rounds = 400;
    auto work = std::async(std::launch::async, [] {
        for (int round = 0; round < rounds; ++round) {
            small_server all;
            std::vector<std::unique_ptr<raw_caller>> callers;
            for (int i = 0; i < 6; ++i) {
                callers.push_back(std::make_unique<raw_caller>(all.server));
                callers.back()->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
            }
            eventually([&] { return all.requests.seen().size() == callers.size(); });
            std::thread leaving([&callers] { callers.clear(); });
            all.server.abortAll();
            all.server.abortAll();
            leaving.join();
        }
    });
    const bool done = work.wait_for(2 * patience) == std::future_status::ready;
    if (!done) {
        std::_Exit(1); // its threads hold locks for good: nothing can be ended in order
    }
    work.get();
}

// A line with a chunk's size that has no end is kept until it is whole: the limits on heads and bodies don't see it.
Test(http_server, a_chunks_size_without_an_end_is_refused_and_not_kept)
{
    constexpr std::size_t farTooMuch = 64 * 1024 * 1024;
    http_server_limits limits;
    limits.maxBodyBytes = 64 * 1024;
    small_server all(limits);
    for (const std::string begin : {"", "b;more=", "0\r\nX-More: "}) {
        raw_caller caller(all.server);
        caller.send("POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + begin);
        const std::string much(256 * 1024, 'x');
        boost::system::error_code code;
        std::size_t sent = 0;
        while (!code && sent < farTooMuch) {
            sent += asio::write(caller.socket, asio::buffer(much), code);
        }
        cr_expect_lt(sent, farTooMuch / 2, "%zu bytes taken after '%s'", sent, begin.c_str());
    }
    cr_expect(all.requests.seen().empty());
    cr_expect(talk(all, "GET /next HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").rfind("HTTP/1.1 200", 0) == 0);
}

// Without descriptors accepting fails at once, again and again, until one is free.
Test(http_server, a_server_without_descriptors_waits_instead_of_spinning)
{
    constexpr duration shortage = 500ms;
    small_server all;
    for (int i = 0; i < 4; ++i) { // so that both threads have what they need of descriptors
        talk(all, "GET /before HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    }
    rlimit limit{};
    cr_assert_eq(getrlimit(RLIMIT_NOFILE, &limit), 0);
    asio::io_context context;
    tcp::socket next(context);
    next.open(tcp::v4());
    const rlimit none{3, limit.rlim_max};
    cr_assert_eq(setrlimit(RLIMIT_NOFILE, &none), 0);
    next.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), all.server.port()));
    const std::clock_t before = std::clock();
    std::this_thread::sleep_for(shortage);
    const double busy = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    cr_assert_eq(setrlimit(RLIMIT_NOFILE, &limit), 0);
    cr_expect_lt(busy, 0.1, "%.2f s of processor time", busy);
    asio::write(next, asio::buffer(std::string("GET /after HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")));
    std::array<char, 64> answer{};
    cr_expect_gt(next.read_some(asio::buffer(answer)), 0);
    cr_expect(eventually([&] { return all.requests.seen().size() == 5; }));
}
