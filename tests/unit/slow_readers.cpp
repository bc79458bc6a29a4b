// Callers that read their answers slowly, endpoints that stop reading a request's body, and requests that are larger than the memory of the
// endpoints: what the daemon holds for them is bounded, and the other requests are served meanwhile.
#include "support/raw_endpoint.h"
#include "support/small_deployment.h"
#include "support/socket_caller.h"

#include "shell/metrics.h"

#include <criterion/criterion.h>

#include <boost/asio/read.hpp>

#include <poll.h>

#include <array>
#include <atomic>
#include <memory>
#include <thread>
#include <vector>

using namespace chicoryrouter;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;
using test::eventually;
using test::raw_endpoint;
using test::small_deployment;
using test::socket_caller;

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;
constexpr double maxGrowth = 72.0 * mebibyte; // of the process, callers and endpoints included
constexpr int smallBuffer = 4096;             // of a socket, so that what is unread is held by the daemon and not by the kernel

const std::string streamHead = "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: ";

// Answers requests whose id begins with "slow" with `events` events of `eventBytes` bytes, and others with two short ones.
struct streaming_endpoint
{
    streaming_endpoint(std::size_t count, std::size_t size)
        : events(count)
        , eventBytes(size)
    {
    }

    void talk(tcp::socket &socket)
    {
        socket.set_option(asio::socket_base::send_buffer_size(smallBuffer));
        for (std::string head = test::readRequestHead(socket); !head.empty(); head = test::readRequestHead(socket)) {
            const std::string id = test::headerIn(head, "X-Request-Id");
            const bool isSlow = id.rfind("slow", 0) == 0;
            boost::system::error_code code;
            asio::write(socket, asio::buffer(streamHead + id + "\r\n\r\n"), code);
            const std::size_t count = isSlow ? events : 2;
            const time_point begun = systemNow();
            for (std::size_t number = 1; number <= count && !code; ++number) {
                std::string event = "id: " + std::to_string(number) + "\ndata: ";
                event += std::string(isSlow ? eventBytes : 4, 'x') + "\n\n";
                asio::write(socket, asio::buffer(test::chunkOf(event)), code);
            }
            asio::write(socket, asio::buffer(std::string_view("0\r\n\r\n")), code);
            written += isSlow && !code ? 1 : 0;
            writingTime = std::max<std::int64_t>(writingTime, (systemNow() - begun) / 1ms);
        }
    }

    std::size_t events;
    std::size_t eventBytes;
    std::atomic<int> written{0};              // long answers that were written to their end
    std::atomic<std::int64_t> writingTime{0}; // longest, ms
    raw_endpoint endpoint{[this](tcp::socket &socket) {
        talk(socket);
    }}; // last
};

std::string requestText(const std::string &method, const std::string &path, const std::string &id, const std::string &more, std::size_t bodyBytes = 0)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: tassel.example\r\nX-Request-Id: " + id + "\r\nX-Api-Key: key-1\r\n" + more;
    return text + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
}

// A caller whose socket takes little.
struct slow_caller
{
    explicit slow_caller(const address &where)
    {
        socket.open(tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size(smallBuffer));
        socket.connect(tcp::endpoint(asio::ip::make_address(where.ip), where.port));
    }

    void send(const std::string &text) { asio::write(socket, asio::buffer(text)); }

    std::size_t readSome(std::size_t most)
    {
        std::vector<char> buffer(most);
        boost::system::error_code code;
        const std::size_t got = socket.read_some(asio::buffer(buffer), code);
        text.append(buffer.data(), got);
        return got;
    }

    [[nodiscard]] bool isWhole() const { return text.size() > 5 && text.compare(text.size() - 5, 5, "0\r\n\r\n") == 0; }

    asio::io_context context;
    tcp::socket socket{context};
    std::string text;
};

void onlyWriters(small_deployment &all, const std::vector<const raw_endpoint *> &endpoints)
{
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        all.store.put("servers/slow-writer-" + std::to_string(i), endpoints[i]->entry("writer"));
    }
    for (const char *other : {"writer-1", "writer-2"}) {
        all.store.remove(std::string("servers/") + other);
    }
    cr_assert(eventually([&] { return all.routers.front()->isLeaving("writer-1") && all.routers.front()->isLeaving("writer-2"); }));
    cr_assert(eventually([&] { return all.routers.front()->usableEndpointCount() == endpoints.size() + 2; }));
}

// The value of a metric of the daemon; -1: there is none.
double metric(small_deployment &all, const std::string &name)
{
    http_call call;
    call.target = "/metrics";
    sync_client client;
    const std::string text = client.callAllowingPartial(all.routers.front()->readiness(), call).response.body;
    const std::size_t at = text.find("\n" + name + " ");
    return at == std::string::npos ? -1.0 : std::stod(text.substr(at + name.size() + 2));
}

void checkOthersAreServed(small_deployment &all, const std::string &id)
{
    const time_point begun = systemNow();
    const auto plain = all.ask("POST", "/order/1", id + "-order");
    cr_assert_eq(plain.response.status, 200, "got %d", plain.response.status);
    const auto streamed = all.ask("POST", "/chat/1", id + "-chat");
    cr_assert_eq(streamed.response.status, 200, "got %d", streamed.response.status);
    cr_assert(streamed.complete);
    cr_assert_neq(streamed.response.body.find("id: 2"), std::string::npos);
    cr_assert_lt((systemNow() - begun) / 1ms, 3000);
}

} // namespace

// An endpoint cuts off an answer that stays unread: the daemon takes it, and the caller reads it from the daemon.
Test(slow_readers, a_caller_that_reads_a_kilobyte_a_second)
{
    streaming_endpoint writer(20'000, 100);
    small_deployment all;
    all.start();
    onlyWriters(all, {&writer.endpoint});
    slow_caller caller(all.routers.front()->gateway());
    caller.send(requestText("POST", "/chat/1", "slow-1", ""));
    for (int second = 0; second < 2; ++second) {
        caller.readSome(kibibyte);
        std::this_thread::sleep_for(1s);
    }
    cr_expect_eq(writer.written.load(), 1, "the endpoint is still writing");
    cr_expect_gt(metric(all, "chicoryrouter_unread_bytes"), 0.0, "nothing is counted");
    while (caller.readSome(mebibyte) > 0 && !caller.isWhole()) {
    }
    cr_assert(caller.isWhole());
    cr_assert_neq(caller.text.find("id: 20000\n"), std::string::npos);
    cr_assert(eventually([&] { return metric(all, "chicoryrouter_unread_bytes") == 0.0; }));
}

Test(slow_readers, a_hundred_callers_that_read_a_kilobyte_a_second)
{
    constexpr std::size_t writers = 4;
    std::vector<std::unique_ptr<streaming_endpoint>> endpoints;
    std::vector<const raw_endpoint *> raw;
    small_deployment all;
    for (std::size_t i = 0; i < writers; ++i) {
        endpoints.push_back(std::make_unique<streaming_endpoint>(512, 16 * kibibyte));
        raw.push_back(&endpoints.back()->endpoint);
    }
    all.start();
    onlyWriters(all, raw);
    std::vector<std::unique_ptr<slow_caller>> callers;
    const double before = residentBytes();
    for (int i = 0; i < 100; ++i) {
        callers.push_back(std::make_unique<slow_caller>(all.routers.front()->gateway()));
        callers.back()->send(requestText("POST", "/chat/1", "slow-" + std::to_string(i), ""));
    }
    double growth = 0.0;
    for (int second = 0; second < 4; ++second) {
        for (const auto &item : callers) {
            item->readSome(kibibyte);
        }
        const time_point until = systemNow() + 1s;
        checkOthersAreServed(all, "other-" + std::to_string(second));
        while (systemNow() < until) {
            growth = std::max(growth, residentBytes() - before);
            cr_assert_lt(growth, maxGrowth, "the process has grown by %.0f bytes", growth);
            std::this_thread::sleep_for(5ms);
        }
    }
    const double unread = metric(all, "chicoryrouter_unread_bytes");
    cr_assert_gt(unread, 0.0);
    cr_assert_leq(unread, 28.0 * mebibyte, "%.0f bytes are held", unread);
    callers.clear();
    cr_assert(eventually([&] { return metric(all, "chicoryrouter_unread_bytes") == 0.0; }));
}

// Guards against bytes of unfinished events that nobody counts: each is held until its event is whole.
Test(slow_readers, events_that_do_not_get_whole_count)
{
    raw_endpoint writer([](tcp::socket &socket) {
        for (std::string head = test::readRequestHead(socket); !head.empty(); head = test::readRequestHead(socket)) {
            const std::string id = test::headerIn(head, "X-Request-Id");
            const bool isSlow = id.rfind("slow", 0) == 0;
            std::string answer = streamHead + id + "\r\n\r\n";
            answer += test::chunkOf("id: 1\ndata: ab\n\nid: 2\ndata: " + std::string(isSlow ? mebibyte * 9 / 10 : 1, 'x') + (isSlow ? "" : "\n\n"));
            boost::system::error_code code;
            asio::write(socket, asio::buffer(answer + (isSlow ? "" : "0\r\n\r\n")), code);
        }
    });
    small_deployment all;
    all.start();
    onlyWriters(all, {&writer});
    constexpr int callers = 120;
    std::vector<std::unique_ptr<slow_caller>> asking;
    const double before = residentBytes();
    double growth = 0.0;
    for (int i = 0; i < callers; ++i) {
        asking.push_back(std::make_unique<slow_caller>(all.routers.front()->gateway()));
        asking.back()->send(requestText("POST", "/chat/1", "slow-" + std::to_string(i), ""));
        growth = std::max(growth, residentBytes() - before);
    }
    const time_point until = systemNow() + 3s;
    while (systemNow() < until) {
        growth = std::max(growth, residentBytes() - before);
        std::this_thread::sleep_for(5ms);
    }
    cr_assert_gt(metric(all, "chicoryrouter_unread_bytes"), 0.0, "nothing is counted");
    cr_assert_lt(growth, maxGrowth, "the process has grown by %.0f bytes", growth);
    asking.clear();
    cr_assert(eventually([&] { return metric(all, "chicoryrouter_unread_bytes") == 0.0; }));
}

namespace {

nlohmann::json withLargeBodies()
{
    nlohmann::json configuration = hostedConfiguration();
    configuration["Limits"]["MaxBodyBytes"] = 2 * mebibyte;
    return configuration;
}

// Reads the head of each request and nothing after it, until the other side closes.
void stopReading(tcp::socket &socket)
{
    socket.set_option(asio::socket_base::receive_buffer_size(smallBuffer));
    test::readRequestHead(socket);
    pollfd closed{socket.native_handle(), POLLRDHUP, 0};
    ::poll(&closed, 1, 20'000);
}

} // namespace

// One request to an endpoint that stops reading its body: it ends by its deadline, and the others are served.
Test(slow_readers, an_endpoint_that_stops_reading_a_body)
{
    raw_endpoint stuck(stopReading);
    small_deployment all(withLargeBodies());
    all.start();
    for (const char *other : {"shop-1", "shop-2"}) {
        all.store.remove(std::string("servers/") + other);
    }
    all.store.put("servers/stuck", stuck.entry("shop"));
    cr_assert(eventually([&] { return all.routers.front()->isLeaving("shop-2") && all.routers.front()->usableEndpointCount() == 3; }));
    const std::size_t bytes = 2 * mebibyte - 1;
    const std::string body(bytes, 'b');
    std::vector<std::thread> callers;
    std::atomic<int> refused{0};
    std::atomic<int> ended{0};
    std::atomic<int> late{0};
    const double before = residentBytes();
    for (int i = 0; i < 60; ++i) {
        callers.emplace_back([&, i] {
            socket_caller caller;
            const time_point begun = systemNow();
            if (!caller.connect(all.routers.front()->gateway())) {
                return;
            }
            const bool sent = caller.send(requestText("POST", "/order/1", "slow-" + std::to_string(i), "X-Deadline-Ms: 2500\r\n", bytes)) && caller.send(body);
            const test::socket_answer answer = caller.readAnswer();
            const bool notRun = answer.status == 503 && answer.bytes.find(R"("ran":"no")") != std::string::npos;
            refused += sent && notRun ? 1 : 0;
            ended += answer.status == 502 || answer.status == 504 ? 1 : 0;
            late += systemNow() - begun > 6s ? 1 : 0;
        });
    }
    double growth = 0.0;
    const time_point until = systemNow() + 2s;
    while (systemNow() < until) {
        growth = std::max(growth, residentBytes() - before);
        std::this_thread::sleep_for(2ms);
    }
    const auto other = all.ask("POST", "/chat/1", "other");
    for (std::thread &item : callers) {
        item.join();
    }
    cr_expect_eq(other.response.status, 200);
    cr_expect_lt(growth, maxGrowth, "the process has grown by %.0f bytes", growth);
    cr_expect_eq(late.load(), 0);
    cr_expect_gt(ended.load(), 0);
    cr_expect_eq(refused + ended, 60, "%d refused, %d ended", refused.load(), ended.load());
    cr_expect(eventually([&] { return metric(all, "chicoryrouter_unread_request_bytes") == 0.0; }));
}

// The endpoints hold 1,000 tokens.
Test(slow_readers, a_request_larger_than_the_endpoints_is_refused_at_once)
{
    small_deployment all;
    all.start();
    const time_point begun = systemNow();
    const auto answer = all.ask("POST", "/chat/1", "large", {{"X-Token-Usage", "900,101"}});
    cr_assert_lt((systemNow() - begun) / 1ms, 1000);
    cr_assert_eq(answer.response.status, 503, "got %d", answer.response.status);
    cr_assert_neq(answer.response.body.find(R"("kind":"request_too_large")"), std::string::npos, "%s", answer.response.body.c_str());
    cr_assert_neq(answer.response.body.find(R"("ran":"no")"), std::string::npos);
    cr_assert_eq(all.writer1.seen().size() + all.writer2.seen().size(), 0);
    const auto fits = all.ask("POST", "/chat/1", "fits", {{"X-Token-Usage", "900,100"}});
    cr_assert_eq(fits.response.status, 200);
}

namespace {

// Answers each request, once its body has come, after a pause.
void answerAfterPause(tcp::socket &socket, duration pause)
{
    std::string received;
    boost::system::error_code code;
    while (!code) {
        const std::size_t headBytes = asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", code);
        if (code) {
            return;
        }
        const std::string head = received.substr(0, headBytes);
        const std::size_t whole = headBytes + std::stoul("0" + test::headerIn(head, "Content-Length"));
        if (received.size() < whole) {
            asio::read(socket, asio::dynamic_buffer(received), asio::transfer_exactly(whole - received.size()), code);
        }
        received.erase(0, whole);
        std::this_thread::sleep_for(pause);
        const std::string answer = "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nContent-Length: 2\r\nX-Request-Id: " + test::headerIn(head, "X-Request-Id");
        asio::write(socket, asio::buffer(answer + "\r\n\r\nok"), code);
    }
}

void onlyShop(small_deployment &all, const raw_endpoint &shop)
{
    all.store.put("servers/raw-shop", shop.entry("shop"));
    for (const char *other : {"shop-1", "shop-2"}) {
        all.store.remove(std::string("servers/") + other);
    }
    cr_assert(eventually([&] { return all.routers.front()->isLeaving("shop-2") && all.routers.front()->usableEndpointCount() == 3; }));
}

} // namespace

// Guards against requests that callers send ahead while another is answered, which were read into the connection's buffer and not counted.
Test(slow_readers, requests_sent_ahead_count)
{
    raw_endpoint shop([](tcp::socket &socket) { answerAfterPause(socket, 2s); });
    small_deployment all(withLargeBodies());
    all.start();
    onlyShop(all, shop);
    constexpr int callers = 50;
    const std::string body(2 * mebibyte - 1, 'b');
    const double before = residentBytes();
    std::vector<std::thread> sending;
    std::atomic<bool> over{false};
    for (int i = 0; i < callers; ++i) {
        sending.emplace_back([&, i] {
            socket_caller caller;
            if (caller.connect(all.routers.front()->gateway()) && caller.send(requestText("POST", "/order/1", "first-" + std::to_string(i), ""))) {
                caller.send(requestText("POST", "/order/1", "ahead-" + std::to_string(i), "", body.size()));
                caller.send(body); // ends when the caller's own time for sending is over, or with the connection
            }
            while (!over) {
                std::this_thread::sleep_for(10ms);
            }
        });
    }
    double growth = 0.0;
    const time_point until = systemNow() + 1800ms;
    while (systemNow() < until) {
        growth = std::max(growth, residentBytes() - before);
        std::this_thread::sleep_for(2ms);
    }
    const double counted = metric(all, "chicoryrouter_unread_request_bytes");
    over = true;
    for (std::thread &item : sending) {
        item.join();
    }
    cr_expect_gt(counted, 0.0, "nothing is counted");
    cr_expect_lt(growth, maxGrowth, "the process has grown by %.0f bytes", growth);
    cr_expect(eventually([&] { return metric(all, "chicoryrouter_unread_request_bytes") == 0.0; }));
}

// The other side: where there is room, a request sent ahead is answered behind the first.
Test(slow_readers, a_large_request_sent_ahead_is_answered)
{
    raw_endpoint shop([](tcp::socket &socket) { answerAfterPause(socket, 300ms); });
    small_deployment all(withLargeBodies());
    all.start();
    onlyShop(all, shop);
    const std::string body(mebibyte, 'b');
    socket_caller caller;
    cr_assert(caller.connect(all.routers.front()->gateway()));
    cr_assert(caller.send(requestText("POST", "/order/1", "first", "")));
    cr_assert(caller.send(requestText("POST", "/order/1", "ahead", "", body.size()) + body));
    for (int i = 0; i < 2; ++i) {
        const test::socket_answer answer = caller.readAnswer();
        cr_assert_eq(answer.status, 200, "answer %d: %s", i, answer.text().c_str());
    }
    cr_assert(eventually([&] { return metric(all, "chicoryrouter_unread_request_bytes") == 0.0; }));
}
