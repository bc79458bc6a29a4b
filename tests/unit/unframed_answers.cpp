// Answers with neither a length nor chunks, which end with their connection: whole ones are passed on as whole, broken ones never look whole.
// And heads that are none: their status is no status.
#include "support/raw_endpoint.h"
#include "support/small_deployment.h"

#include <criterion/criterion.h>

#include <thread>

using namespace chicoryrouter;
namespace asio = boost::asio;
using asio::ip::tcp;
using test::raw_endpoint;
using test::small_deployment;
using test::wholeStream;

namespace {

enum class ending {
    Closed,
    Reset,
};

// Answers every request with the same bytes and ends the connection.
raw_endpoint::conversation answerAndEnd(const std::string &answer, ending end)
{
    return [answer, end](tcp::socket &socket) {
        boost::system::error_code code;
        test::readRequestHead(socket);
        asio::write(socket, asio::buffer(answer), code);
        std::this_thread::sleep_for(std::chrono::milliseconds(50)); // a reset would overtake the bytes
        socket.set_option(asio::socket_base::linger(end == ending::Reset, 0), code);
    };
}

constexpr std::size_t uploadBytes = 4 * 1024 * 1024; // more than the kernel takes from a writer whose peer doesn't read

const std::string head = "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n";
const std::string streamHead = head + "Content-Type: text/event-stream\r\n\r\n";

// The caller's view of a request that only the unframed endpoint can serve.
sync_client::partial_response answerThrough(
    const std::string &answer, ending end, const std::string &service, const std::string &path, const std::string &body = {})
{
    const raw_endpoint only(answerAndEnd(answer, end));
    nlohmann::json configuration = hostedConfiguration();
    configuration["Limits"]["MaxBodyBytes"] = uploadBytes;
    small_deployment all(configuration);
    all.start();
    for (const char *other : {"writer-1", "writer-2", "shop-1", "shop-2"}) {
        all.store.remove(std::string("servers/") + other);
    }
    all.store.put("servers/only", only.entry(service));
    cr_assert(test::eventually([&] { return all.routers.front()->isLeaving("shop-1") && all.routers.front()->usableEndpointCount() == 1; }));
    return all.ask("POST", path, "u1", {{"X-Prompt-Prefix", "aa01:20,bb01:10"}}, body);
}

bool isWhole(const sync_client::partial_response &answer)
{
    return answer.complete && answer.response.status == 200;
}

} // namespace

Test(unframed_answers, a_whole_stream_is_whole)
{
    const auto answer = answerThrough(streamHead + wholeStream(), ending::Closed, "writer", "/write/1");
    cr_assert(isWhole(answer) && answer.response.body == wholeStream());
}

Test(unframed_answers, a_stream_that_ends_inside_an_event_is_broken_off)
{
    for (const std::size_t missing : {1, 2, 5}) {
        const std::string cut = wholeStream().substr(0, wholeStream().size() - missing);
        cr_assert(!isWhole(answerThrough(streamHead + cut, ending::Closed, "writer", "/write/1")), "%zu bytes missing", missing);
    }
}

// An endpoint that crashes as it begins to write leaves a head and nothing else.
Test(unframed_answers, a_stream_without_any_event_is_broken_off)
{
    cr_assert(!isWhole(answerThrough(streamHead, ending::Closed, "writer", "/write/1")));
}

Test(unframed_answers, what_is_reset_is_not_whole)
{
    cr_assert(!isWhole(answerThrough(streamHead + wholeStream(), ending::Reset, "writer", "/write/1")));
    cr_assert(!isWhole(answerThrough(head + "\r\nthe answer", ending::Reset, "shop", "/order/1")));
}

Test(unframed_answers, a_whole_plain_answer_is_whole)
{
    const auto answer = answerThrough(head + "\r\nthe answer", ending::Closed, "shop", "/order/1");
    cr_assert(isWhole(answer) && answer.response.body == "the answer");
}

// An endpoint that answers a long upload at once and resets the connection while it is still written: the part that it sent looked whole.
Test(unframed_answers, what_is_reset_during_the_upload_is_not_whole)
{
    const std::string upload(uploadBytes, 'u');
    const std::string someEvents = hostedEvent(1) + hostedEvent(2);
    cr_assert(!isWhole(answerThrough(head + "\r\na part", ending::Reset, "shop", "/order/1", upload)));
    cr_assert(!isWhole(answerThrough(head + "\r\na part", ending::Reset, "shop", "/look/1", upload)));
    cr_assert(!isWhole(answerThrough(streamHead + someEvents, ending::Reset, "writer", "/write/1", upload)));
    cr_assert(!isWhole(answerThrough(streamHead + someEvents, ending::Reset, "writer", "/chat/1", upload)));
    cr_assert(!isWhole(answerThrough(head + "Content-Length: 9\r\n\r\na part", ending::Reset, "shop", "/order/1", upload)));
}

// The caller got the endpoint's head as its answer, seal included.
Test(unframed_answers, an_answer_whose_status_is_none_is_not_passed_on)
{
    const auto expectRefused = [](const std::string &status, const std::string &length, const std::string &service, const std::string &path) {
        const std::string answer = "HTTP/1.1 " + status + " Text\r\nX-Response-Seal: s\r\nX-Request-Id: u1\r\n" + length + "\r\ndone";
        const auto got = answerThrough(answer, ending::Closed, service, path);
        cr_expect_eq(got.response.status, 502, "%s: %d", status.c_str(), got.response.status);
        cr_expect(findHeader(got.response.headers, "X-Response-Seal").empty());
    };
    for (const char *status : {"000", "099", "101", "700"}) {
        expectRefused(status, "Content-Length: 4\r\n", "shop", "/order/1");
        expectRefused(status, "", "shop", "/order/1");
        expectRefused(status, "", "writer", "/write/1");
    }
}
