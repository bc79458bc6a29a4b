// Endpoints in trouble that send bytes without end, in a head or a body, until the caller closes. The request is answered, the connection is
// closed, and a daemon that meets many of them keeps its memory.
#include "support/raw_endpoint.h"
#include "support/small_deployment.h"

#include <criterion/criterion.h>

#include <array>
#include <atomic>
#include <thread>

using namespace chicoryrouter;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;
using test::eventually;
using test::raw_endpoint;
using test::small_deployment;

namespace {

constexpr std::size_t farTooMuch = 256 * 1024 * 1024; // nobody reads so much of one answer

// Answers every connection with `begin`, and then with `filling` over and over until the other side closes.
struct babbling_endpoint
{
    babbling_endpoint(std::string first, std::string more)
        : begin(std::move(first))
        , filling(std::move(more))
    {
    }

    void talk(tcp::socket &socket)
    {
        std::array<char, 4096> buffer{};
        boost::system::error_code code;
        socket.read_some(asio::buffer(buffer), code);
        std::size_t sent = asio::write(socket, asio::buffer(begin), code);
        std::string much;
        while (much.size() < 64 * 1024) {
            much += filling;
        }
        while (!code && !endpoint.isStopping() && sent < farTooMuch) {
            sent += asio::write(socket, asio::buffer(much), code);
        }
        std::size_t most = mostSent;
        while (sent > most && !mostSent.compare_exchange_weak(most, sent)) {
        }
    }

    std::string begin;
    std::string filling;
    std::atomic<std::size_t> mostSent{0}; // on one connection
    raw_endpoint endpoint{[this](tcp::socket &socket) {
        talk(socket);
    }}; // last
};

// Only the babbling endpoint serves; every request ends as a failure, and its connections are closed.
void checkThatRequestsEnd(const std::string &begin, const std::string &filling, const std::string &method, const std::string &path, const std::string &service)
{
    babbling_endpoint babbler(begin, filling);
    small_deployment all;
    all.start();
    for (const char *other : {"writer-1", "writer-2", "shop-1", "shop-2"}) {
        all.store.remove(std::string("servers/") + other);
    }
    all.store.put("servers/babbler", babbler.endpoint.entry(service));
    cr_assert(eventually([&] { return all.routers.front()->isLeaving("shop-1") && all.routers.front()->usableEndpointCount() == 1; }));
    const auto answer = all.ask(method, path, "b1");
    cr_assert_geq(answer.response.status, 500, "got %d", answer.response.status);
    cr_assert(findHeader(answer.response.headers, "X-Response-Seal").empty());
    cr_assert(eventually([&] { return babbler.endpoint.open() == 0; }), "the connection is still read");
    cr_assert_lt(babbler.mostSent.load(), farTooMuch / 4);
}

const std::string okHead = "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n";

} // namespace

Test(endless_answers, a_head_without_an_end)
{
    checkThatRequestsEnd("HTTP/1.1 200 OK\r\n", "X-More: and more\r\n", "POST", "/order/1", "shop");
}

Test(endless_answers, bytes_that_are_no_head)
{
    checkThatRequestsEnd("", "no answer at all ", "POST", "/order/1", "shop");
}

Test(endless_answers, a_body_that_ends_with_its_connection)
{
    checkThatRequestsEnd(okHead + "\r\n", "more of it ", "POST", "/order/1", "shop");
}

Test(endless_answers, a_body_in_chunks)
{
    checkThatRequestsEnd(okHead + "Transfer-Encoding: chunked\r\n\r\n", "b\r\nmore of it \r\n", "GET", "/look/1", "shop");
}

Test(endless_answers, a_failure_whose_body_does_not_end)
{
    checkThatRequestsEnd("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n\r\n", "more of it ", "POST", "/order/1", "shop");
}

Test(endless_answers, an_answer_to_another_request)
{
    checkThatRequestsEnd(okHead + "X-Request-Id: another\r\n\r\n", "more of it ", "POST", "/order/1", "shop");
}

Test(endless_answers, an_event_without_an_end)
{
    checkThatRequestsEnd(okHead + "Transfer-Encoding: chunked\r\n\r\n", "b\r\nmore of it \r\n", "POST", "/chat/1", "writer");
}

// What has no end before it can be parsed grows in the client's own buffer, where no limit on bodies sees it.
Test(endless_answers, a_line_for_a_chunks_size_without_an_end)
{
    checkThatRequestsEnd(okHead + "Transfer-Encoding: chunked\r\n\r\n", "more of it ", "POST", "/chat/1", "writer");
}

Test(endless_answers, a_chunk_extension_without_an_end)
{
    checkThatRequestsEnd(okHead + "Transfer-Encoding: chunked\r\n\r\nb;more=", "more-of-it", "GET", "/look/1", "shop");
}

Test(endless_answers, a_trailer_without_an_end)
{
    checkThatRequestsEnd(okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: and more\r\n", "GET", "/look/1", "shop");
}

// The refusal is whole without its body, which only the connection's further use needs: it must not hold up the next attempt.
Test(endless_answers, a_refusal_whose_body_comes_byte_by_byte_holds_nothing_up)
{
    raw_endpoint trickler([](tcp::socket &socket) {
        const std::string head = test::readRequestHead(socket);
        const std::string answer = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 100000\r\nX-Request-Id: " + test::headerIn(head, "X-Request-Id");
        boost::system::error_code code;
        asio::write(socket, asio::buffer(answer + "\r\n\r\n"), code);
        while (!code && !head.empty()) {
            asio::write(socket, asio::buffer("x", 1), code);
            std::this_thread::sleep_for(20ms);
        }
    });
    small_deployment all;
    all.start();
    all.store.remove("servers/shop-1");
    all.store.remove("servers/shop-2");
    all.store.put("servers/trickler", trickler.entry("shop"));
    cr_assert(eventually([&] { return all.routers.front()->isLeaving("shop-2") && all.routers.front()->usableEndpointCount() == 3; }));
    const time_point begun = systemNow();
    const auto answer = all.ask("POST", "/order/1", "t1");
    cr_assert_eq(answer.response.status, 503, "got %d", answer.response.status);
    cr_assert_lt((systemNow() - begun) / 1ms, 1500, "after %ld ms", (systemNow() - begun) / 1ms);
    cr_assert(eventually([&] { return trickler.open() == 0; }), "the connection is still read");
}
