// Endpoints in trouble that send bytes without end, in a head or a body, until the caller closes. The request is answered, the connection is
// closed, and a daemon that meets many of them keeps its memory.
#include "support/small_deployment.h"

#include "chicoryrouter/bounded_counter.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <array>
#include <atomic>
#include <list>
#include <thread>

using namespace chicoryrouter;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;
using test::eventually;
using test::small_deployment;

namespace {

constexpr std::size_t farTooMuch = 256 * 1024 * 1024; // nobody reads so much of one answer

// Answers every connection with `begin`, and then with `filling` over and over until the other side closes.
class babbling_endpoint
{
public:
    babbling_endpoint(std::string begin, std::string filling)
        : m_begin(std::move(begin))
        , m_filling(std::move(filling))
        , m_acceptor(m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , m_accepting([this] { accept(); })
    {
    }

    ~babbling_endpoint()
    {
        m_stopping = true;
        tcp::socket wake(m_context);
        boost::system::error_code ignored;
        wake.connect(m_acceptor.local_endpoint(), ignored);
        m_accepting.join();
        wake.close(ignored);
        for (std::thread &item : m_talking) {
            item.join();
        }
    }

    [[nodiscard]] std::string entry(const std::string &service) const
    {
        return R"({"Service":")" + service + R"(","Address":"127.0.0.1:)" + std::to_string(m_acceptor.local_endpoint().port())
            + R"(","Zone":"west-1","Version":"v1","Slots":64,"State":"ready","ColdRemainingMs":0,"Sequence":1})";
    }

    [[nodiscard]] std::size_t open() const { return m_open; }
    [[nodiscard]] std::size_t mostSent() const { return m_mostSent; } // on one connection

private:
    void accept()
    {
        while (!m_stopping) {
            auto socket = std::make_shared<tcp::socket>(m_acceptor.accept());
            m_talking.emplace_back([this, socket] { talk(*socket); });
        }
    }

    void talk(tcp::socket &socket)
    {
        const scoped_count counted(m_open);
        std::array<char, 4096> buffer{};
        boost::system::error_code code;
        socket.read_some(asio::buffer(buffer), code);
        std::size_t sent = asio::write(socket, asio::buffer(m_begin), code);
        std::string much;
        while (much.size() < 64 * 1024) {
            much += m_filling;
        }
        while (!code && !m_stopping && sent < farTooMuch) {
            sent += asio::write(socket, asio::buffer(much), code);
        }
        std::size_t most = m_mostSent;
        while (sent > most && !m_mostSent.compare_exchange_weak(most, sent)) {
        }
    }

    std::string m_begin;
    std::string m_filling;
    std::atomic<bool> m_stopping{false};
    std::atomic<std::size_t> m_open{0};
    std::atomic<std::size_t> m_mostSent{0};
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::list<std::thread> m_talking;
    std::thread m_accepting; // last: it uses the others
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
    all.store.put("servers/babbler", babbler.entry(service));
    cr_assert(eventually([&] { return all.routers.front()->isLeaving("shop-1") && all.routers.front()->usableEndpointCount() == 1; }));
    const auto answer = all.ask(method, path, "b1");
    cr_assert_geq(answer.response.status, 500, "got %d", answer.response.status);
    cr_assert(findHeader(answer.response.headers, "X-Response-Seal").empty());
    cr_assert(eventually([&] { return babbler.open() == 0; }), "the connection is still read");
    cr_assert_lt(babbler.mostSent(), farTooMuch / 4);
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
