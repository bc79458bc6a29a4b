// The HTTP server closes its idle connections while requests arrive on them: a request that is read is answered.
#include "shell/http.h"
#include "shell/http_connection.h"
#include "support/waiting.h"

#include "shell/worker_pool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <array>
#include <atomic>
#include <future>

using namespace chicoryrouter;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

using test::eventually;

asio::awaitable<void> answerTarget(http_exchange &exchange)
{
    co_await exchange.respond(200, "text/plain", "answer to " + exchange.request.target);
}

// A server with one thread, which a test can hold up.
struct one_thread_server
{
    ~one_thread_server()
    {
        server.abortAll();
        workers.stop();
    }

    asio::awaitable<void> answer(http_exchange &exchange)
    {
        ++handled;
        co_await answerTarget(exchange);
    }

    // Holds up the server's thread; returns what lets it go on.
    std::promise<void> holdUp()
    {
        std::promise<void> release;
        asio::post(workers.at(0), [released = release.get_future().share()] { released.wait(); });
        return release;
    }

    std::atomic<int> handled{0};
    worker_pool workers{1};
    http_server server{workers, {"127.0.0.1", 0}, [this](http_exchange &exchange) {
                           return answer(exchange);
                       }};
};

struct keeping_caller
{
    explicit keeping_caller(const http_server &server)
        : socket(context)
    {
        socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), server.port()));
    }

    void send(const std::string &bytes)
    {
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
    }

    // What comes until `ending` or the end of the connection.
    std::string readUntil(const std::string &ending)
    {
        std::string text;
        std::array<char, 4096> buffer{};
        boost::system::error_code code;
        while (!code && text.find(ending) == std::string::npos) {
            text.append(buffer.data(), socket.read_some(asio::buffer(buffer), code));
        }
        return text;
    }

    bool isAnswered(const std::string &target) { return readUntil("answer to " + target).find("answer to " + target) != std::string::npos; }

    asio::io_context context;
    tcp::socket socket;
};

std::string requestFor(const std::string &target)
{
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

} // namespace

// The close reaches the connection's thread between the bytes of a request and the handler.
Test(http_server_close, a_request_read_while_idle_connections_are_closed_is_answered)
{
    constexpr int rounds = 30;
    for (int round = 0; round < rounds; ++round) {
        one_thread_server all;
        keeping_caller caller(all.server);
        caller.send(requestFor("/first"));
        cr_assert(caller.isAnswered("/first"));
        std::promise<void> first = all.holdUp();
        caller.send(requestFor("/second"));
        std::promise<void> second = all.holdUp(); // the thread sees that bytes have arrived between the two
        first.set_value();
        std::this_thread::sleep_for(2ms);
        all.server.closeIdle();
        second.set_value();
        cr_assert(caller.isAnswered("/second"), "round %d: no answer, though the handler was called %d times", round, all.handled.load());
    }
}

// A body that comes in parts: its connection isn't idle.
Test(http_server_close, a_request_that_is_arriving_while_idle_connections_are_closed_is_answered)
{
    for (const bool first : {true, false}) {
        one_thread_server all;
        keeping_caller caller(all.server);
        if (!first) {
            caller.send(requestFor("/first"));
            cr_assert(caller.isAnswered("/first"));
        }
        std::this_thread::sleep_for(firstBytesTime + 100ms); // so that no new connection's time for its first bytes keeps it open
        caller.send("POST /parts HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\n1234");
        std::this_thread::sleep_for(20ms);
        all.server.close();
        all.server.closeIdle();
        std::this_thread::sleep_for(20ms);
        all.server.closeIdle();
        cr_expect_eq(all.server.connections(), 1, "a stop would not wait for it");
        caller.send("5678");
        cr_assert(caller.isAnswered("/parts"), "on a %s connection", first ? "new" : "kept");
    }
}

// Bytes that the kernel has and the server hasn't read yet count as a request too.
Test(http_server_close, a_request_that_has_arrived_unread_is_answered_when_idle_connections_are_closed)
{
    one_thread_server all;
    keeping_caller caller(all.server);
    caller.send(requestFor("/first"));
    cr_assert(caller.isAnswered("/first"));
    std::promise<void> held = all.holdUp();
    std::this_thread::sleep_for(2ms);
    all.server.closeIdle();
    caller.send(requestFor("/second"));
    std::this_thread::sleep_for(2ms);
    held.set_value();
    cr_assert(caller.isAnswered("/second"));
    const auto closed = [&] {
        all.server.closeIdle(); // again and again, as a stop does
        return all.server.connections() == 0;
    };
    cr_assert(eventually(closed), "the connection stays open after the answer");
}

// Connections without any request are closed, whether one was served before or not.
Test(http_server_close, idle_connections_are_closed)
{
    one_thread_server all;
    keeping_caller fresh(all.server);
    keeping_caller kept(all.server);
    kept.send(requestFor("/first"));
    cr_assert(kept.isAnswered("/first"));
    cr_assert(eventually([&] { return all.server.connections() == 2 && all.server.busy() == 0; }));
    cr_assert(eventually([&] {
        all.server.closeIdle(); // again and again, as a stop does: a new connection has a second for its first bytes
        return all.server.connections() == 0;
    }));
}

// A request that crosses the close stays unread: its caller sees the reset and may send it again.
Test(http_server_close, a_request_that_crosses_the_close_is_not_read)
{
    one_thread_server all;
    keeping_caller caller(all.server);
    caller.send(requestFor("/first"));
    cr_assert(caller.isAnswered("/first"));
    cr_assert(eventually([&] { return all.server.busy() == 0; }));
    all.server.close();
    all.server.closeIdle();
    cr_assert(caller.readUntil("anything").empty());
    caller.send(requestFor("/crossing"));
    std::this_thread::sleep_for(20ms);
    boost::system::error_code code;
    asio::write(caller.socket, asio::buffer(requestFor("/crossing")), code);
    cr_assert(code, "the connection still takes bytes");
}

// A thread that is held up between accepting a connection and serving it: the time for its first bytes counts from when it is served.
Test(http_server_close, a_request_on_a_connection_that_is_served_late_is_answered)
{
    constexpr std::size_t servingThread = 1; // the first connection's, as the listening socket took the other
    worker_pool workers{2};
    http_server server(workers, {"127.0.0.1", 0}, answerTarget);
    std::promise<void> release;
    asio::post(workers.at(servingThread), [held = release.get_future().share()] { held.wait(); });
    keeping_caller caller(server);
    caller.send(requestFor("/late"));
    cr_assert(eventually([&] { return server.connections() == 1; }));
    std::this_thread::sleep_for(1200ms); // longer than a new connection has for its first bytes
    server.closeIdle();
    release.set_value();
    cr_expect(caller.isAnswered("/late"));
    server.abortAll();
    workers.stop();
}
