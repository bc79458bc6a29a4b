// The HTTP client against peers that misbehave below HTTP.
#include "shell/http.h"

#include "shell/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <array>
#include <filesystem>
#include <thread>

using namespace chicoryrouter;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Accepts one connection, reads a request, writes `answer`, and tells how the other side ended it.
struct raw_peer
{
    raw_peer()
        : acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
    }

    [[nodiscard]] address where() const { return {"127.0.0.1", acceptor.local_endpoint().port()}; }

    boost::system::error_code serveOnce(const std::string &answer)
    {
        tcp::socket socket = acceptor.accept();
        std::array<char, 4096> buffer{};
        boost::system::error_code code;
        socket.read_some(asio::buffer(buffer), code);
        asio::write(socket, asio::buffer(answer), code);
        while (!code) {
            socket.read_some(asio::buffer(buffer), code);
        }
        return code;
    }

    asio::io_context context;
    tcp::acceptor acceptor;
};

// One call; false when it failed. A free function, since g++ 12 gives coroutine lambdas in test bodies one name.
asio::awaitable<void> callOnce(http_client &client, address where, duration within, std::vector<std::string> &bodies, int times)
{
    for (int i = 0; i < times; ++i) {
        try {
            http_call call;
            const http_response response = co_await client.call(where, std::move(call), systemNow() + within, 8 * 1024 * 1024);
            bodies.push_back(response.body);
        } catch (const http_failure &) {
            bodies.emplace_back("failed");
        }
    }
}

} // namespace

// Bytes that a partition holds up must not arrive after the sender gave up: only a reset takes them back.
Test(http_client, a_call_that_is_given_up_resets_its_connection)
{
    raw_peer peer;
    boost::system::error_code ended;
    std::thread serving([&] { ended = peer.serveOnce(""); });
    asio::io_context context;
    http_client client(context.get_executor());
    std::vector<std::string> bodies;
    asio::co_spawn(context, callOnce(client, peer.where(), 200ms, bodies, 1), asio::detached);
    context.run();
    serving.join();
    cr_assert(bodies.size() == 1 && bodies[0] == "failed");
    cr_assert(ended == asio::error::connection_reset, "ended by: %s", ended.message().c_str());
}

namespace {

// Reads the request, then writes the answer's head, keeps silent for `silence`, and writes its body piece by piece.
void serveSlowly(raw_peer &peer, duration silence, int pieces, duration between)
{
    tcp::socket socket = peer.acceptor.accept();
    std::array<char, 4096> buffer{};
    boost::system::error_code code;
    socket.read_some(asio::buffer(buffer), code);
    asio::write(socket, asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(pieces) + "\r\n\r\n"), code);
    std::this_thread::sleep_for(silence);
    for (int i = 0; i < pieces && !code; ++i) {
        asio::write(socket, asio::buffer("x", 1), code);
        std::this_thread::sleep_for(between);
    }
}

asio::awaitable<void> callAtPace(http_client &client, address where, duration within, duration quiet, duration whole, std::string &body)
{
    try {
        http_call call;
        const time_point deadline = systemNow() + within;
        const http_response response = co_await client.call(where, std::move(call), deadline, 1000, body_timeouts{quiet, deadline + whole});
        body = response.body;
    } catch (const http_failure &fault) {
        body = "failed after " + std::to_string(fault.bodyBytes());
    }
}

std::string readAtPace(duration silence, int pieces, duration between, duration within, duration quiet, duration whole)
{
    raw_peer peer;
    std::thread serving([&] { serveSlowly(peer, silence, pieces, between); });
    asio::io_context context;
    http_client client(context.get_executor());
    std::string body;
    asio::co_spawn(context, callAtPace(client, peer.where(), within, quiet, whole, body), asio::detached);
    context.run();
    serving.join();
    return body;
}

} // namespace

Test(http_client, an_answer_goes_on_past_its_deadline_while_pieces_come)
{
    cr_assert_eq(readAtPace(0ms, 60, 60ms, 2s, 20s, 20s).size(), 60, "nearly four seconds of pieces, two allowed for the whole");
    cr_assert_eq(readAtPace(500ms, 5, 0ms, 20s, 10ms, 0ms), "xxxxx", "silence before the deadline is none of the pace's business");
    cr_assert_eq(readAtPace(0ms, 60, 60ms, 2s, 20s, 300ms).rfind("failed after ", 0), 0, "however steadily it comes");
}

// Bytes behind a whole answer belong to no request; the connection that brought them is not used again.
Test(http_client, a_connection_with_bytes_left_over_is_not_kept)
{
    raw_peer peer;
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";
    int served = 0;
    std::thread serving([&] {
        for (; served < 2; ++served) {
            peer.serveOnce(answer);
        }
    });
    asio::io_context context;
    http_client client(context.get_executor());
    std::vector<std::string> bodies;
    asio::co_spawn(context, callOnce(client, peer.where(), 5s, bodies, 2), asio::detached);
    context.run();
    serving.join();
    cr_assert_eq(bodies.size(), 2);
    cr_assert(bodies[0] == "ok" && bodies[1] == "ok");
}

namespace {

std::vector<std::string> bodiesOf(const std::string &answer)
{
    raw_peer peer;
    std::thread serving([&] { peer.serveOnce(answer); });
    asio::io_context context;
    http_client client(context.get_executor());
    std::vector<std::string> bodies;
    asio::co_spawn(context, callOnce(client, peer.where(), 2s, bodies, 1), asio::detached);
    context.run();
    serving.join();
    return bodies;
}

} // namespace

// An interim response used to be passed on as the answer, and the answer was left for the connection's next request.
Test(http_client, interim_responses_are_skipped)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok";
    cr_assert(bodiesOf(interim + answer) == std::vector<std::string>{"ok"});
}

Test(http_client, interim_responses_without_end_fail_the_call)
{
    std::string many;
    for (int i = 0; i < 100; ++i) {
        many += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    cr_assert(bodiesOf(many + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") == std::vector<std::string>{"failed"});
}

// A head whose status no HTTP response can have was passed on as an answer.
Test(http_client, a_status_that_is_none_fails_the_call)
{
    const std::string rest = " Text\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok";
    for (const std::string status : {"000", "001", "099", "101", "600", "999"}) {
        cr_expect(bodiesOf("HTTP/1.1 " + status + rest) == std::vector<std::string>{"failed"}, "status %s", status.c_str());
    }
    for (const std::string status : {"200", "299", "400", "599"}) {
        cr_expect(bodiesOf("HTTP/1.1 " + status + rest) == std::vector<std::string>{"ok"}, "status %s", status.c_str());
    }
}

// The exception of the address parser used to leave the coroutine: the caller waited for its deadline.
Test(http_client, an_address_that_is_no_ip_address_fails_the_call)
{
    asio::io_context context;
    http_client client(context.get_executor());
    std::vector<std::string> bodies;
    asio::co_spawn(context, callOnce(client, {"a-name", 80}, 2s, bodies, 1), asio::detached);
    context.run();
    cr_assert(bodies == std::vector<std::string>{"failed"});
}

namespace {

std::size_t openDescriptors()
{
    const std::filesystem::directory_iterator all("/proc/self/fd");
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

// Answers one request on each of `connections` connections at the same time, keeps them open for a moment, and ends.
void serveAndEnd(raw_peer &peer, std::size_t connections)
{
    std::vector<tcp::socket> open;
    std::array<char, 4096> buffer{};
    for (std::size_t i = 0; i < connections; ++i) {
        open.push_back(peer.acceptor.accept());
        open.back().read_some(asio::buffer(buffer));
    }
    for (tcp::socket &socket : open) {
        asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
    }
    std::this_thread::sleep_for(50ms);
}

// Runs calls to a server that is then replaced.
void callAndReplace(asio::io_context &context, http_client &client, std::size_t connections)
{
    raw_peer peer;
    std::thread serving([&] { serveAndEnd(peer, connections); });
    std::vector<std::string> bodies;
    for (std::size_t i = 0; i < connections; ++i) {
        asio::co_spawn(context, callOnce(client, peer.where(), 10s, bodies, 1), asio::detached);
    }
    context.restart();
    context.run();
    serving.join();
    cr_assert_eq(bodies.size(), connections);
}

} // namespace

// Only a request to the same address used to free idle connections; nobody sends one to a server that is gone.
Test(http_client, idle_connections_to_replaced_servers_are_closed, .timeout = 120)
{
    constexpr std::size_t connections = 16;
    constexpr std::size_t servers = 60;
    asio::io_context context;
    http_client client(context.get_executor());
    callAndReplace(context, client, connections);
    const std::size_t before = openDescriptors();
    for (std::size_t i = 0; i < servers; ++i) {
        callAndReplace(context, client, connections);
    }
    const std::size_t after = openDescriptors();
    cr_assert_leq(after, before + 8 * connections, "%zu descriptors, then %zu", before, after);
}

namespace {

// Answers as soon as a request begins, without reading on, and resets the connection while the request is still being written.
void answerAndReset(raw_peer &peer, const std::string &answer)
{
    tcp::socket socket = peer.acceptor.accept();
    std::array<char, 4096> buffer{};
    boost::system::error_code code;
    socket.read_some(asio::buffer(buffer), code);
    asio::write(socket, asio::buffer(answer), code);
    std::this_thread::sleep_for(100ms); // a reset would overtake the bytes
    socket.set_option(asio::socket_base::linger(true, 0), code);
}

asio::awaitable<void> upload(http_client &client, address where, std::string &body)
{
    try {
        http_call call;
        call.method = "POST";
        call.body = std::string(16 * 1024 * 1024, 'u'); // more than the kernel takes from a writer whose peer doesn't read
        const http_response response = co_await client.call(where, std::move(call), systemNow() + 5s, 8 * 1024 * 1024);
        body = response.body;
    } catch (const http_failure &) {
        body = "failed";
    }
}

std::string bodyOfUpload(const std::string &answer)
{
    raw_peer peer;
    std::thread serving([&] { answerAndReset(peer, answer); });
    asio::io_context context;
    http_client client(context.get_executor());
    std::string body;
    asio::co_spawn(context, upload(client, peer.where(), body), asio::detached);
    context.run();
    serving.join();
    return body;
}

} // namespace

// The write took the connection's error, so that the read after it saw an ordinary end: a part of an answer without a length looked whole.
Test(http_client, an_answer_without_a_length_whose_upload_is_reset_is_not_whole)
{
    cr_assert_eq(bodyOfUpload("HTTP/1.1 200 OK\r\n\r\na part"), "failed");
}

// An early answer with a length is whole when all of it has arrived, whatever became of the rest of the upload.
Test(http_client, an_answer_with_a_length_whose_upload_is_reset_is_whole)
{
    cr_assert_eq(bodyOfUpload("HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno"), "no");
    cr_assert_eq(bodyOfUpload("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na part"), "failed");
}
