// Answers with neither a length nor chunks, which end with their connection: whole ones are passed on as whole, broken ones never look whole.
#include "support/small_deployment.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <array>
#include <atomic>
#include <thread>

using namespace chicoryrouter;
namespace asio = boost::asio;
using asio::ip::tcp;
using test::eventually;
using test::small_deployment;
using test::wholeStream;

namespace {

enum class ending {
    Closed,
    Reset,
};

// Answers every request with the same bytes and ends the connection.
class unframed_endpoint
{
public:
    unframed_endpoint(std::string answer, ending end)
        : m_answer(std::move(answer))
        , m_end(end)
        , m_acceptor(m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , m_thread([this] { serve(); })
    {
    }

    ~unframed_endpoint()
    {
        m_stopping = true;
        tcp::socket wake(m_context);
        boost::system::error_code ignored;
        wake.connect(m_acceptor.local_endpoint(), ignored);
        wake.close(ignored);
        m_thread.join();
    }

    [[nodiscard]] std::string entry(const std::string &service) const
    {
        return R"({"Service":")" + service + R"(","Address":"127.0.0.1:)" + std::to_string(m_acceptor.local_endpoint().port())
            + R"(","Zone":"west-1","Version":"v1","Slots":64,"State":"ready","ColdRemainingMs":0,"Sequence":1})";
    }

private:
    void serve()
    {
        while (!m_stopping) {
            tcp::socket socket = m_acceptor.accept();
            std::array<char, 8192> buffer{};
            boost::system::error_code code;
            socket.read_some(asio::buffer(buffer), code);
            asio::write(socket, asio::buffer(m_answer), code);
            std::this_thread::sleep_for(std::chrono::milliseconds(50)); // a reset would overtake the bytes
            socket.set_option(asio::socket_base::linger(m_end == ending::Reset, 0), code);
            socket.close(code);
        }
    }

    std::string m_answer;
    ending m_end;
    std::atomic<bool> m_stopping{false};
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::thread m_thread; // last: it uses the others
};

const std::string head = "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n";
const std::string streamHead = head + "Content-Type: text/event-stream\r\n\r\n";

// The caller's view of a request that only the unframed endpoint can serve.
sync_client::partial_response answerThrough(const std::string &answer, ending end, const std::string &service, const std::string &path)
{
    unframed_endpoint only(answer, end);
    small_deployment all;
    all.start();
    for (const char *other : {"writer-1", "writer-2", "shop-1", "shop-2"}) {
        all.store.remove(std::string("servers/") + other);
    }
    all.store.put("servers/only", only.entry(service));
    cr_assert(eventually([&] { return all.routers.front()->isLeaving("shop-1") && all.routers.front()->usableEndpointCount() == 1; }));
    return all.ask("POST", path, "u1", {{"X-Prompt-Prefix", "aa01:20,bb01:10"}});
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
