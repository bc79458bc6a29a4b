// Callers that close their connections before their requests are read, as under more load than a daemon's processor bears: a request that nobody
// waits for is not passed on.
#include "support/process_deployment.h"
#include "support/socket_caller.h"

#include "shell/worker_pool.h"

#include <criterion/criterion.h>

#include <atomic>
#include <deque>
#include <thread>
#include <utility>
#include <vector>

using namespace chicoryrouter;
using namespace std::chrono_literals;

using test::eventually;
using test::process_deployment;
using test::requestHead;
using test::socket_caller;

namespace {

// Holds up its thread, and then watches the caller.
struct held_up_handler
{
    boost::asio::awaitable<void> handle(http_exchange &exchange)
    {
        began = true;
        while (!goesOn) {
            std::this_thread::sleep_for(1ms);
        }
        exchange.watchCaller([this] { ++gone; });
        goneAtOnce = gone.load();
        co_await exchange.respond(200, "text/plain", "late");
    }

    std::atomic<bool> began{false};
    std::atomic<bool> goesOn{false};
    std::atomic<int> gone{0};
    std::atomic<int> goneAtOnce{-1}; // `gone` when watchCaller() had returned
};

} // namespace

// The router read a request seconds after its caller had closed, sent it to an endpoint, and only then looked for the close.
Test(callers_that_left, requests_read_after_their_callers_closed_reach_no_endpoint)
{
    process_deployment all;
    test::daemon_process &router = all.addRouter();
    router.start();
    cr_assert(all.serves(router));
    const std::vector<std::pair<std::string, std::string>> kinds = {{"GET", "/look/1"}, {"POST", "/order/1"}, {"POST", "/write/1"}, {"POST", "/chat/1"}};
    std::deque<socket_caller> callers(5 * kinds.size());
    for (socket_caller &caller : callers) {
        cr_assert(caller.connect(router.own().gateway));
        cr_assert(caller.send(requestHead("GET", "/look/1", "first")));
        cr_assert(caller.readAnswer().isWhole());
    }
    const auto idOf = [](std::size_t number) {
        return "left-" + std::to_string(number);
    };
    router.pause();
    for (std::size_t i = 0; i < callers.size(); ++i) {
        const auto &[method, target] = kinds[i % kinds.size()];
        cr_assert(callers[i].send(requestHead(method, target, idOf(i), "Content-Length: 0\r\n")));
        callers[i].close();
    }
    router.resume();
    cr_assert_eq(process_deployment::callOn(router, "GET", "/look/1", "after").response.status, 200);
    std::this_thread::sleep_for(300ms); // for what was sent to arrive
    for (std::size_t i = 0; i < callers.size(); ++i) {
        cr_expect_eq(all.runsOf(idOf(i)), 0, "%s reached an endpoint", kinds[i % kinds.size()].second.c_str());
    }
}

// A close that is in the kernel is told before the handler goes on, not at the next turn of its thread.
Test(callers_that_left, a_close_that_came_before_is_told_at_once)
{
    worker_pool workers(1);
    held_up_handler handler;
    http_server server(workers, {"127.0.0.1", 0}, [&handler](http_exchange &exchange) { return handler.handle(exchange); });
    socket_caller caller;
    cr_assert(caller.connect({"127.0.0.1", server.port()}));
    cr_assert(caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
    cr_assert(eventually([&] { return handler.began.load(); }));
    caller.close();
    std::this_thread::sleep_for(50ms); // over loopback
    handler.goesOn = true;
    cr_assert(eventually([&] { return handler.goneAtOnce >= 0; }));
    server.abortAll();
    workers.stop();
    cr_expect_eq(handler.goneAtOnce, 1);
    cr_expect_eq(handler.gone, 1);
}
