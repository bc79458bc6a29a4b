// The planned end of an HTTP server and of a plain daemon, against requests that are between the kernel and the server.
#include "shell/http.h"
#include "shell/worker_pool.h"
#include "standin/deployment.h"
#include "support/socket_caller.h"
#include "support/waiting.h"

#include <boost/asio/post.hpp>

#include <criterion/criterion.h>

#include <deque>
#include <future>
#include <thread>

using namespace chicoryrouter;
using namespace std::chrono_literals;

using test::eventually;
using test::socket_answer;
using test::socket_caller;

namespace {

const std::string getRequest = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n";

// A server with one thread, which a test can hold up.
struct one_thread_server
{
    ~one_thread_server()
    {
        server.abortAll();
        workers.stop();
    }

    void holdUp(duration span)
    {
        boost::asio::post(workers.at(0), [span] { std::this_thread::sleep_for(span); });
    }

    [[nodiscard]] address where() const { return {"127.0.0.1", server.port()}; }

    static boost::asio::awaitable<void> answer(http_exchange &exchange) { co_await exchange.respond(200, "text/plain", "served"); }

    worker_pool workers{1};
    http_server server{workers, {"127.0.0.1", 0}, &one_thread_server::answer};
};

} // namespace

// Connections that the kernel had accepted, with their requests, and the server had not taken when it closed its listening socket.
Test(server_stops, requests_in_the_listening_queue_at_its_close_are_answered)
{
    one_thread_server all;
    all.holdUp(300ms);
    all.server.close();
    std::deque<socket_caller> callers(20);
    for (socket_caller &caller : callers) {
        cr_assert(caller.connect(all.where()));
        cr_assert(caller.send(getRequest));
    }
    for (socket_caller &caller : callers) {
        const socket_answer answer = caller.readAnswer();
        cr_assert(answer.isWhole() && answer.status == 200, "%s", answer.text().c_str());
    }
    cr_assert(eventually([&] { return !socket_caller().connect(all.where()); }), "it still takes connections");
}

// A request that ends in an error across the close is answered too.
Test(server_stops, a_bad_request_across_the_close_gets_its_error)
{
    one_thread_server all;
    socket_caller caller;
    cr_assert(caller.connect(all.where()));
    cr_assert(caller.send("GARBAGE"));
    cr_assert(eventually([&] { return all.server.connections() == 1; }));
    all.server.close();
    cr_assert(caller.send("\r\n\r\n"));
    const socket_answer answer = caller.readAnswer();
    cr_assert(answer.isWhole() && answer.status == 400, "%s", answer.text().c_str());
}

// A plain daemon without open requests ended at once, also with a request on its way in.
Test(server_stops, a_plain_daemons_stop_answers_a_request_that_is_arriving)
{
    deployment all(deployment_options{});
    cr_assert(all.waitReady());
    socket_caller caller;
    cr_assert(caller.connect(all.at(0).gateway()));
    cr_assert(caller.send("GET /readyz HTTP/1.1\r\nHost: a\r\n"));
    std::this_thread::sleep_for(50ms);
    auto stopping = std::async(std::launch::async, [&] { all.at(0).stop(); });
    std::this_thread::sleep_for(300ms);
    caller.send("\r\n");
    const socket_answer answer = caller.readAnswer();
    cr_assert(answer.isWhole() && answer.status == 503, "%s", answer.text().c_str());
    caller.close();
    stopping.get();
}
