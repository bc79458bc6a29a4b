// Exceptions that nothing else catches: the thread, the loops and the process go on.
#include "shell/context_runner.h"
#include "shell/datagram_link.h"
#include "shell/metrics.h"
#include "shell/worker_pool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <criterion/criterion.h>

#include <future>
#include <stdexcept>

using namespace chicoryrouter;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

asio::awaitable<void> failingTask()
{
    throw std::runtime_error("ends the task");
    co_return;
}

} // namespace

// Guards against the end of the process by an exception that leaves a handler on a request thread.
Test(thread_faults, a_request_thread_goes_on_after_an_exception)
{
    worker_pool workers(1);
    std::promise<void> served;
    for (int i = 0; i < 1000; ++i) {
        asio::post(workers.at(0), [] { throw std::runtime_error("a fault that nothing catches"); });
    }
    asio::post(workers.at(0), [] { throw 1; });
    asio::post(workers.at(0), [&served] { served.set_value(); });
    cr_assert(served.get_future().wait_for(20s) == std::future_status::ready, "the thread serves no more");
    cr_expect_eq(caughtFaults(), 1001);
    cr_expect(metrics().text().find("chicoryrouter_caught_faults_total 1001\n") != std::string::npos);
}

// Guards against a task that ends by an exception without a trace.
Test(thread_faults, the_end_of_a_task_by_an_exception_is_counted)
{
    asio::io_context context;
    asio::co_spawn(context, failingTask(), logged_end("task"));
    runContext(context, "test");
    cr_expect_eq(caughtFaults(), 1);
}

// Guards against a daemon that hears no datagram after one whose handling threw.
Test(thread_faults, datagrams_are_received_after_one_that_throws)
{
    asio::io_context context;
    listening_port port({"peer", {"127.0.0.1", 0}, port_transport::Udp});
    const address own{"127.0.0.1", port.port()};
    std::vector<std::string> heard;
    datagram_link link(context, std::move(port), "key", [&](datagram_kind, std::string_view bytes) {
        heard.emplace_back(bytes);
        if (heard.size() == 1) {
            throw std::runtime_error("a fault in the handling");
        }
        context.stop();
    });
    link.send({own}, datagram_kind{}, "first");
    link.send({own}, datagram_kind{}, "second");
    asio::steady_timer giveUp(context, 10s);
    giveUp.async_wait([&context](const boost::system::error_code &) { context.stop(); });
    runContext(context, "test");
    cr_assert_eq(heard.size(), 2);
    cr_expect_eq(caughtFaults(), 1);
}

// Guards against reports of before a long start that are taken as new: their age counts from the moment at which they are read.
Test(thread_faults, datagrams_that_waited_for_the_link_are_not_delivered)
{
    asio::io_context context;
    listening_port port({"peer", {"127.0.0.1", 0}, port_transport::Udp});
    const address own{"127.0.0.1", port.port()};
    datagram_link sender(context, listening_port({"peer", {"127.0.0.1", 0}, port_transport::Udp}), "key", [](datagram_kind, std::string_view) {});
    sender.send({own}, datagram_kind{}, "old");
    std::vector<std::string> heard;
    datagram_link link(context, std::move(port), "key", [&](datagram_kind, std::string_view bytes) {
        heard.emplace_back(bytes);
        context.stop();
    });
    sender.send({own}, datagram_kind{}, "new");
    asio::steady_timer giveUp(context, 10s);
    giveUp.async_wait([&context](const boost::system::error_code &) { context.stop(); });
    runContext(context, "test");
    cr_assert_eq(heard.size(), 1);
    cr_expect(heard.front() == "new", "heard: %s", heard.front().c_str());
}
