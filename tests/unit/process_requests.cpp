// Routers as real processes: requests that arrive below HTTP in unusual ways, or while planned work goes on, end with an answer.
#include "support/process_deployment.h"
#include "support/socket_caller.h"

#include "shell/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <array>
#include <atomic>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

using namespace chicoryrouter;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

using test::daemon_process;
using test::process_deployment;
using test::requestHead;

namespace {

bool startsWith(const std::string &text, const std::string &beginning)
{
    return text.compare(0, beginning.size(), beginning) == 0;
}

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

    // The chunks of a response up to the last one; false: the connection ended before it.
    bool readChunks()
    {
        const std::string lastChunk = "0\r\n\r\n";
        while (m_received.find("\r\n" + lastChunk) == std::string::npos && !startsWith(m_received, lastChunk)) {
            if (!receive()) {
                return false;
            }
        }
        m_received.clear();
        return true;
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

} // namespace

// A body that is still arriving when the stop closes the idle connections.
Test(process_requests, a_request_that_arrives_slowly_at_the_end_of_a_planned_stop_is_answered)
{
    process_deployment all;
    daemon_process &router = all.addRouter();
    router.start();
    cr_assert(all.serves(router));
    byte_caller caller(router);
    caller.send(requestHead("GET", "/look/1", "look-1"));
    cr_assert(startsWith(caller.readResponse(), "HTTP/1.1 200"));
    const time_point askedAt = systemNow();
    router.terminate();
    std::this_thread::sleep_for(2200ms); // idle connections are closed 2.5 s after the signal
    caller.send(requestHead("POST", "/order/1", "order-1", "Content-Length: 8\r\n") + "1234");
    const duration sentAfter = systemNow() - askedAt;
    std::this_thread::sleep_for(600ms);
    caller.send("5678");
    const std::string response = caller.readResponse();
    cr_assert(!response.empty() || sentAfter > 2450ms, "the connection ended without a response");
    cr_assert(router.ends(10s));
}

namespace {

// What became of requests on kept connections.
struct outcome_counts
{
    std::atomic<int> answered{0};
    std::atomic<int> cut{0};     // the connection ended without a complete response
    std::atomic<int> refused{0}; // other than 200
};

// One request after the other on kept connections, as long as `stopping` is unset.
void askContinually(const daemon_process &router, const std::atomic<bool> &stopping, outcome_counts &counts, unsigned caller)
{
    const std::array<std::string, 3> targets = {"/write/x", "/order/x", "/look/x"};
    auto connection = std::make_unique<byte_caller>(router);
    for (unsigned number = 0; !stopping; ++number) {
        const std::size_t kind = (caller + number) % targets.size();
        const std::string id = "c" + std::to_string(caller) + "-" + std::to_string(number);
        const std::string body = kind == 2 ? std::string() : std::string(20 + 700 * (number % 20), 'x');
        const std::string more = "X-Model: m\r\nX-Token-Usage: 10,10\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        connection->send(requestHead(kind == 2 ? "GET" : "POST", targets.at(kind), id, more) + body);
        const std::string response = connection->readResponse();
        const bool chunked = response.find("chunked") != std::string::npos;
        const bool complete = !response.empty() && (!chunked || connection->readChunks());
        ++(complete ? counts.answered : counts.cut);
        counts.refused += complete && !startsWith(response, "HTTP/1.1 200") ? 1 : 0;
        if (!complete || response.find("Connection: close") != std::string::npos) {
            connection = std::make_unique<byte_caller>(router);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(number % 7 * 5));
    }
}

// Versions that change time-outs, limits, accounts and routes, and move a service's route to and fro, but never those of the callers away.
nlohmann::json versionOf(int number)
{
    nlohmann::json whole = hostedConfiguration();
    whole["Version"] = number;
    whole["Limits"]["IdleTimeoutMs"] = number % 2 == 0 ? 15000 : 2000;
    whole["Limits"]["HeaderTimeoutMs"] = number % 3 == 0 ? 3000 : 1500;
    whole["Limits"]["MaxBodyBytes"] = number % 2 == 0 ? 100000 : 50000;
    whole["Routes"][3]["TimeoutMs"] = number % 2 == 0 ? 3000 : 1500;
    whole["Routes"][2]["Priority"] = number % 4;
    if (number % 5 < 2) {
        whole["Tenants"].push_back(
            {{"Name", "more"}, {"ApiKeys", {"key-" + std::to_string(number)}}, {"Unit", "token_count"}, {"PlainTokens", 200}, {"RatePerS", 0}, {"Burst", 0}});
    }
    if (number % 3 == 0) {
        whole["Routes"].push_back({{"Name", "v"}, {"Host", "tassel.example"}, {"Prefix", "/v/"}, {"Kind", "idempotent"}, {"TimeoutMs", 3000}, {"SloMs", 300},
            {"Priority", 2}, {"Service", "shop"}, {"MaxAttempts", 2}});
    }
    return whole;
}

} // namespace

// New versions in quick succession, with hang-ups between them.
Test(process_requests, requests_open_while_configurations_and_hang_ups_come_are_answered)
{
    process_deployment all;
    all.writer1.faults.workMillis = 30;
    all.writer2.faults.workMillis = 30;
    all.shop1.faults.workMillis = 20;
    all.shop2.faults.workMillis = 20;
    daemon_process &router = all.addRouter();
    router.start();
    cr_assert(all.serves(router));
    std::atomic<bool> stopping{false};
    outcome_counts counts;
    std::vector<std::thread> callers;
    for (unsigned i = 0; i < 9; ++i) {
        callers.emplace_back([&, i] { askContinually(router, stopping, counts, i); });
    }
    for (int number = 2; number < 100; ++number) {
        all.store.put("op/config", versionOf(number).dump());
        if (number % 4 == 0) {
            router.hangUp();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(number % 9 * 10));
    }
    stopping = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    cr_assert_gt(counts.answered.load(), 100);
    cr_expect_eq(counts.cut.load(), 0, "%d of %d requests ended without a complete response", counts.cut.load(), counts.cut + counts.answered);
    cr_expect_eq(counts.refused.load(), 0, "%d were refused", counts.refused.load());
    cr_assert(router.stop(10s));
}
