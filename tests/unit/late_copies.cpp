// An endpoint sends an extra copy of an answer late, where the next answer on the connection is expected. A repeat of the same request bears
// the same id, so that only its connection tells the copy from its answer.
#include "support/raw_endpoint.h"
#include "support/small_deployment.h"

#include <criterion/criterion.h>

#include <map>
#include <mutex>

using namespace chicoryrouter;
namespace asio = boost::asio;
using asio::ip::tcp;
using test::eventually;
using test::raw_endpoint;
using test::small_deployment;

namespace {

// Answers the first try of every request with a failure, and sends a copy of it before the next answer on that connection.
class copying_endpoint
{
public:
    explicit copying_endpoint(std::string failureHead)
        : m_failureHead(std::move(failureHead))
    {
    }

    [[nodiscard]] std::string entry() const { return m_endpoint.entry("shop"); }
    [[nodiscard]] int triesOf(const std::string &id)
    {
        const std::lock_guard guard(m_lock);
        return m_tries[id];
    }

private:
    void talk(tcp::socket &socket)
    {
        std::string copy;
        boost::system::error_code code;
        for (std::string head = test::readRequestHead(socket); !head.empty() && !code; head = test::readRequestHead(socket)) {
            const std::string id = test::headerIn(head, "X-Request-Id");
            const bool first = addTry(id) == 1;
            const std::string answer
                = (first ? m_failureHead : "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n") + "X-Request-Id: " + id + "\r\nContent-Length: 4\r\n\r\n"
                + (first ? "full" : "done");
            asio::write(socket, asio::buffer(copy + answer), code);
            copy = first ? answer : std::string();
        }
    }

    int addTry(const std::string &id)
    {
        const std::lock_guard guard(m_lock);
        return ++m_tries[id];
    }

    std::string m_failureHead;
    std::mutex m_lock;
    std::map<std::string, int> m_tries;
    raw_endpoint m_endpoint{[this](tcp::socket &socket) { talk(socket); }}; // last
};

// The endpoint is the only one of its service, so that a repeat goes where the request was before.
void checkThatTheRepeatsAnswerIsPassedOn(const std::string &failureHead, const std::string &method, const std::string &target)
{
    copying_endpoint endpoint(failureHead);
    small_deployment all;
    all.start();
    all.store.put("servers/copier", endpoint.entry());
    all.store.remove("servers/shop-1");
    all.store.remove("servers/shop-2");
    const auto &router = *all.routers.front();
    cr_assert(eventually([&] { return router.isLeaving("shop-1") && router.isLeaving("shop-2") && !router.isLeaving("copier"); }));
    const auto answer = all.ask(method, target, "r1");
    cr_expect_eq(answer.response.status, 200, "got %d", answer.response.status);
    cr_expect_str_eq(answer.response.body.c_str(), "done");
    cr_expect_eq(endpoint.triesOf("r1"), 2, "reached the endpoint %d times", endpoint.triesOf("r1"));
}

} // namespace

// The copy of a refusal says "not run" of an order that runs: it was answered 503, or sent for the third time.
Test(late_copies, a_copy_of_a_refusal_is_not_the_answer_to_the_next_try_of_an_order)
{
    checkThatTheRepeatsAnswerIsPassedOn("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n", "POST", "/order/1");
}

Test(late_copies, a_copy_of_a_failure_is_not_the_answer_to_the_next_try_of_a_lookup)
{
    checkThatTheRepeatsAnswerIsPassedOn("HTTP/1.1 500 Failed\r\n", "GET", "/look/1");
}
