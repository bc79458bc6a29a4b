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

struct copying_behaviour
{
    std::string failureHead;         // of the answer to the first try of failedRequest
    bool failureNamesRequest = true; // the failure bears the request's id
    bool successCloses = false;      // the connection ends with any other answer
};

const std::string failedRequest = "r1";

// Answers the first try of failedRequest with a failure, and sends a copy of it before the next answer on that connection.
class copying_endpoint
{
public:
    explicit copying_endpoint(copying_behaviour behaviour)
        : m_behaviour(std::move(behaviour))
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
            const bool fails = addTry(id) == 1 && id == failedRequest;
            const std::string answer = fails ? failure(id) : success(id);
            asio::write(socket, asio::buffer(copy + answer), code);
            copy = fails ? answer : std::string();
            if (!fails && m_behaviour.successCloses) {
                return;
            }
        }
    }

    [[nodiscard]] std::string failure(const std::string &id) const
    {
        return m_behaviour.failureHead + (m_behaviour.failureNamesRequest ? "X-Request-Id: " + id + "\r\n" : "") + "Content-Length: 4\r\n\r\nfull";
    }

    [[nodiscard]] std::string success(const std::string &id) const
    {
        return "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nX-Request-Id: " + id + (m_behaviour.successCloses ? "\r\nConnection: close" : "")
            + "\r\nContent-Length: 4\r\n\r\ndone";
    }

    int addTry(const std::string &id)
    {
        const std::lock_guard guard(m_lock);
        return ++m_tries[id];
    }

    copying_behaviour m_behaviour;
    std::mutex m_lock;
    std::map<std::string, int> m_tries;
    raw_endpoint m_endpoint{[this](tcp::socket &socket) {
        talk(socket);
    }}; // last
};

// The endpoint is the only one of its service, so that a repeat goes where the request was before.
void checkThatTheRepeatsAnswerIsPassedOn(copying_behaviour behaviour, const std::string &method, const std::string &target)
{
    copying_endpoint endpoint(std::move(behaviour));
    small_deployment all;
    all.start();
    all.store.put("servers/copier", endpoint.entry());
    all.store.remove("servers/shop-1");
    all.store.remove("servers/shop-2");
    const auto &router = *all.routers.front();
    cr_assert(eventually([&] { return router.isLeaving("shop-1") && router.isLeaving("shop-2") && !router.isLeaving("copier"); }));
    for (const std::string &id : {failedRequest, std::string("r2")}) {
        const auto answer = all.ask(method, target, id);
        cr_expect_eq(answer.response.status, 200, "%s got %d", id.c_str(), answer.response.status);
        cr_expect_str_eq(answer.response.body.c_str(), "done");
        const int wanted = id == failedRequest ? 2 : 1;
        cr_expect_eq(endpoint.triesOf(id), wanted, "%s reached the endpoint %d times", id.c_str(), endpoint.triesOf(id));
    }
}

const std::string refusalHead = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n";

} // namespace

// The copy of a refusal says "not run" of an order that runs: it was answered 503, or sent for the third time.
Test(late_copies, a_copy_of_a_refusal_is_not_the_answer_to_the_next_try_of_an_order)
{
    checkThatTheRepeatsAnswerIsPassedOn({refusalHead}, "POST", "/order/1");
}

Test(late_copies, a_copy_of_a_failure_is_not_the_answer_to_the_next_try_of_a_lookup)
{
    checkThatTheRepeatsAnswerIsPassedOn({"HTTP/1.1 500 Failed\r\n"}, "GET", "/look/1");
}

// A copy of an answer that names no request looks like the answer to any other. Here the next request would get the connection of the refusal.
Test(late_copies, a_copy_that_names_no_request_is_not_the_answer_to_another_order)
{
    checkThatTheRepeatsAnswerIsPassedOn({refusalHead, false, true}, "POST", "/order/1");
}
