// What peers, the platform's services and the store may send without end: each has a bound.
#include "store.h"

#include "shell/clock.h"
#include "shell/copy_manager.h"
#include "shell/platform_client.h"
#include "shell/worker_pool.h"
#include "support/raw_endpoint.h"
#include "support/waiting.h"

#include <criterion/criterion.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <future>
#include <optional>
#include <string>

using namespace chicoryrouter;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;
using test::raw_endpoint;

namespace {

constexpr std::size_t mebibyte = 1024 * 1024;

template<typename T>
std::optional<T> runFor(asio::io_context &context, asio::awaitable<T> call, duration most)
{
    std::future<T> result = asio::co_spawn(context, std::move(call), asio::use_future);
    context.run_for(most);
    return result.wait_for(0s) == std::future_status::ready ? std::optional<T>(result.get()) : std::nullopt;
}

address whereOf(const raw_endpoint &endpoint)
{
    const std::string entry = endpoint.entry("any");
    const std::string mark = "127.0.0.1:";
    return {"127.0.0.1", static_cast<std::uint16_t>(std::stoi(entry.substr(entry.find(mark) + mark.size())))};
}

// Answers each request with this body.
raw_endpoint serverOf(const std::string &body)
{
    return raw_endpoint([body](tcp::socket &socket) {
        while (!test::readRequestHead(socket).empty()) {
            const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
            boost::system::error_code code;
            asio::write(socket, asio::buffer(head + body), code);
        }
    });
}

} // namespace

// A copy is dropped by its owner; a drop that is lost leaves it.
Test(endless_inputs, copies_of_other_daemons_requests)
{
    request_host host;
    worker_pool workers(1);
    gateway front(host, "entry-1");
    copy_manager copies(host, front, workers);
    asio::io_context context;
    constexpr std::size_t promptBytes = mebibyte;
    std::size_t refused = 0;
    for (int i = 0; i < 300; ++i) {
        request_snapshot snapshot;
        snapshot.id = "r" + std::to_string(i);
        snapshot.owner = "entry-2";
        snapshot.payload.prompt = std::string(promptBytes, 'p');
        const auto answer = runFor(context, copies.onCopy(encodeSnapshot(snapshot)), 5s);
        context.restart();
        cr_assert(answer.has_value());
        refused += *answer ? 0 : 1;
    }
    cr_assert_gt(refused, 0, "all are held");
    cr_assert_leq(copies.heldCopyCount() * promptBytes, 64 * mebibyte);
    cr_assert_gt(copies.heldCopyCount(), 16);
    workers.stop();
}

// A page that repeats keys of an earlier one: a list that went on from it would never end.
Test(endless_inputs, a_list_of_the_store_that_does_not_end)
{
    const std::string item = R"({"Key":"servers/a","Value":"e30=","Revision":7,"CreatedAt":7,"Lease":0})";
    raw_endpoint server = serverOf(R"({"Items":[)" + item + R"(],"HasMore":true,"At":7})");
    asio::io_context context;
    platform::store client(context.get_executor(), whereOf(server), std::make_shared<store_counters>(), std::make_shared<store_eras>());
    const auto reply = runFor(context, client.list("servers/", systemNow() + 1s), 4s);
    cr_assert(reply.has_value(), "the list goes on");
    cr_assert_neq(reply->kind, platform::reply_kind::Ok);
}

// A report takes a hundred bytes; each endpoint is asked for one every second.
Test(endless_inputs, a_load_report_of_a_mebibyte_is_none)
{
    const std::string report = R"({"id":"e1","epoch":1,"sequence":1,"completed":1,"running":1,"queued":0)";
    for (const std::size_t more : {std::size_t{0}, mebibyte}) {
        raw_endpoint server = serverOf(report + std::string(more, ' ') + "}");
        asio::io_context context;
        http_client client(context.get_executor());
        const auto target = std::make_shared<endpoint>();
        target->id = "e1";
        target->listenAddress = whereOf(server);
        const auto answer = runFor(context, fetchLoadReport(client, target, systemNow() + 3s), 4s);
        cr_assert(answer.has_value());
        cr_assert_eq(answer->has_value(), more == 0);
    }
}
