// Routers as real processes: requests that arrive below HTTP in unusual ways, or while planned work goes on, end with an answer.
#include "support/process_deployment.h"

#include "shell/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <array>

using namespace chicoryrouter;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

using test::daemon_process;
using test::process_deployment;

namespace {

// A connection on which a test writes and reads bytes.
struct byte_caller
{
    explicit byte_caller(const daemon_process &router)
        : socket(context)
    {
        socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), router.own().gateway.port));
    }

    void send(const std::string &bytes)
    {
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
    }

    // The head of the next response, and its body of the stated length; shorter if the connection ended.
    std::string readResponse()
    {
        while (m_received.find("\r\n\r\n") == std::string::npos && receive()) {
        }
        const std::size_t headEnd = m_received.find("\r\n\r\n");
        if (headEnd == std::string::npos) {
            return std::exchange(m_received, {});
        }
        const std::size_t at = m_received.find("Content-Length: ");
        const std::size_t length = at < headEnd ? std::stoul(m_received.substr(at + 16)) : 0;
        const std::size_t end = headEnd + 4 + length;
        while (m_received.size() < end && receive()) {
        }
        std::string response = m_received.substr(0, end);
        m_received.erase(0, end);
        return response;
    }

    std::string readToEnd()
    {
        while (receive()) {
        }
        return std::exchange(m_received, {});
    }

    asio::io_context context;
    tcp::socket socket;

private:
    bool receive()
    {
        std::array<char, 4096> buffer{};
        boost::system::error_code code;
        m_received.append(buffer.data(), socket.read_some(asio::buffer(buffer), code));
        return !code;
    }

    std::string m_received;
};

std::string head(const std::string &method, const std::string &target, const std::string &id, const std::string &more = {})
{
    return method + " " + target + " HTTP/1.1\r\nHost: tassel.example\r\nX-Request-Id: " + id + "\r\nX-Api-Key: key-1\r\nX-Deadline-Ms: 10000\r\n" + more
        + "\r\n";
}

bool startsWith(const std::string &text, const std::string &beginning)
{
    return text.compare(0, beginning.size(), beginning) == 0;
}

} // namespace

// A body that is still arriving when the stop closes the idle connections.
Test(process_requests, a_request_that_arrives_slowly_at_the_end_of_a_planned_stop_is_answered)
{
    process_deployment all;
    daemon_process &router = all.addRouter();
    router.start();
    cr_assert(all.serves(router));
    byte_caller caller(router);
    caller.send(head("GET", "/look/1", "look-1"));
    cr_assert(startsWith(caller.readResponse(), "HTTP/1.1 200"));
    const time_point askedAt = systemNow();
    router.terminate();
    std::this_thread::sleep_for(2200ms); // idle connections are closed 2.5 s after the signal
    caller.send(head("POST", "/order/1", "order-1", "Content-Length: 8\r\n") + "1234");
    const duration sentAfter = systemNow() - askedAt;
    std::this_thread::sleep_for(600ms);
    caller.send("5678");
    const std::string response = caller.readResponse();
    cr_assert(!response.empty() || sentAfter > 2450ms, "the connection ended without a response");
    cr_assert(router.ends(10s));
}
