// When a daemon hears late that an endpoint leaves, and when its requests are late on their way there.
#include "support/raw_endpoint.h"
#include "support/small_deployment.h"

#include "shell/clock.h"

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <deque>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace chicoryrouter;
using namespace std::chrono_literals;

using test::eventually;
using test::raw_endpoint;
using test::small_deployment;

namespace {

constexpr duration leavingWithin = 2s;

enum class watch_fault {
    None,
    Silent,       // nothing of the answer arrives, and the connection stays open
    SilentInside, // its head arrives, and nothing more
    CutInside     // its head arrives, and then the connection is closed
};

// The way from a daemon to the store, on which the answers of single watches can be lost while all other calls pass.
class store_link
{
public:
    explicit store_link(address store)
        : m_store(std::move(store))
        , m_endpoint([this](boost::asio::ip::tcp::socket &socket) { relay(socket); })
    {
    }

    std::atomic<watch_fault> fault{watch_fault::None}; // of each watch that is answered from now on

    [[nodiscard]] address where() const
    {
        const std::string text = nlohmann::json::parse(m_endpoint.entry("store"))["Address"];
        return {"127.0.0.1", static_cast<std::uint16_t>(std::stoi(text.substr(text.find(':') + 1)))};
    }

    [[nodiscard]] int faults() const { return m_faults; } // answers lost so far

private:
    void relay(boost::asio::ip::tcp::socket &daemon)
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket store(context);
        store.connect({boost::asio::ip::make_address(m_store.ip), m_store.port});
        std::array<pollfd, 2> both{{{daemon.native_handle(), POLLIN, 0}, {store.native_handle(), POLLIN, 0}}};
        std::array<char, 65536> buffer{};
        bool watches = false;
        bool lost = false;
        while (!m_endpoint.isStopping()) {
            if (poll(both.data(), both.size(), 20) <= 0) {
                continue;
            }
            if (both[0].revents != 0) {
                const ssize_t got = recv(both[0].fd, buffer.data(), buffer.size(), 0);
                if (got <= 0 || send(both[1].fd, buffer.data(), static_cast<std::size_t>(got), MSG_NOSIGNAL) != got) {
                    return;
                }
                watches = std::string_view(buffer.data(), static_cast<std::size_t>(got)).find("GET /api/kv-watch") == 0;
            }
            if (both[1].revents != 0) {
                const ssize_t got = recv(both[1].fd, buffer.data(), buffer.size(), 0);
                if (got <= 0) {
                    return;
                }
                const watch_fault now = watches ? fault.load() : watch_fault::None;
                std::string_view passed(buffer.data(), static_cast<std::size_t>(got));
                if (!lost && now != watch_fault::None) {
                    lost = true;
                    ++m_faults;
                    passed = now == watch_fault::Silent ? std::string_view() : passed.substr(0, passed.find("\r\n\r\n") + 4);
                } else if (lost) {
                    passed = {};
                }
                send(both[0].fd, passed.data(), passed.size(), MSG_NOSIGNAL);
                if (lost && now == watch_fault::CutInside) {
                    return;
                }
            }
        }
    }

    address m_store;
    std::atomic<int> m_faults{0};
    raw_endpoint m_endpoint; // last: it uses the others
};

// Requests that reach writer-1 later than `leavingWithin` after its leaving was acknowledged, when the answer that tells it is lost like this.
std::size_t lateArrivals(watch_fault fault)
{
    small_deployment all;
    std::size_t late = 0;
    {
        store_link link(all.store.where());
        settings own = hostedSettings("entry-1", "west-1", all.store, &all.cloud);
        own.keyValue = link.where();
        own.leavingWithin = leavingWithin;
        all.routers.push_back(std::make_unique<platform::hosted_daemon>(own));
        cr_assert(eventually([&all] { return all.routers.back()->isReady() && all.routers.back()->usableEndpointCount() >= 4; }));
        std::this_thread::sleep_for(1500ms); // the daemon has taken up its duties: no more changes than those of this test and its reports
        link.fault = fault;
        all.store.put("servers/writer-1", all.writer1.entry("writer", "west-1", "draining"));
        const time_point acknowledgedAt = systemNow();
        cr_assert(eventually([&link] { return link.faults() > 0; }), "no answer was lost");
        link.fault = watch_fault::None;
        std::size_t seenInTime = 0;
        for (int number = 0; systemNow() < acknowledgedAt + leavingWithin + 3s; ++number) {
            seenInTime = systemNow() < acknowledgedAt + leavingWithin ? all.writer1.seen().size() : seenInTime;
            all.ask("POST", "/chat/1", "chat" + std::to_string(number));
            std::this_thread::sleep_for(20ms);
        }
        late = all.writer1.seen().size() - seenInTime;
        all.routers.clear(); // before the link: the daemon must not see it end
    }
    return late;
}

} // namespace

Test(leaving_endpoints, a_watch_whose_answer_is_lost_on_a_silent_connection_does_not_hide_that_an_endpoint_leaves, .timeout = 60)
{
    const std::size_t late = lateArrivals(watch_fault::Silent);
    cr_expect_eq(late, 0, "%zu requests", late);
}

Test(leaving_endpoints, a_watch_whose_answer_stops_behind_its_head_does_not_hide_that_an_endpoint_leaves, .timeout = 60)
{
    const std::size_t late = lateArrivals(watch_fault::SilentInside);
    cr_expect_eq(late, 0, "%zu requests", late);
}

Test(leaving_endpoints, a_watch_whose_answer_is_cut_behind_its_head_does_not_hide_that_an_endpoint_leaves, .timeout = 60)
{
    const std::size_t late = lateArrivals(watch_fault::CutInside);
    cr_expect_eq(late, 0, "%zu requests", late);
}

namespace {

// An endpoint whose queue of new connections is full: opening packets are dropped, and repeated after one second.
class full_endpoint
{
public:
    full_endpoint()
    {
        sockaddr_in any{};
        any.sin_family = AF_INET;
        any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        cr_assert_eq(bind(m_listener, reinterpret_cast<sockaddr *>(&any), sizeof(any)), 0);
        cr_assert_eq(listen(m_listener, 0), 0);
        socklen_t size = sizeof(m_address);
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&m_address), &size);
        bool queued = true;
        while (queued) {
            const int filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            m_sockets.push_back(filler);
            connect(filler, reinterpret_cast<sockaddr *>(&m_address), sizeof(m_address));
            pollfd opened{filler, POLLOUT, 0};
            queued = poll(&opened, 1, 200) == 1;
        }
    }

    ~full_endpoint()
    {
        for (const int item : m_sockets) {
            close(item);
        }
        close(m_listener);
    }

    full_endpoint(const full_endpoint &) = delete;
    full_endpoint &operator=(const full_endpoint &) = delete;

    [[nodiscard]] std::string entry(const std::string &state) const
    {
        return R"({"Service":"writer","Address":"127.0.0.1:)" + std::to_string(ntohs(m_address.sin_port))
            + R"(","Zone":"west-1","Version":"v1","Slots":64,"State":")" + state + R"(","ColdRemainingMs":0,"Sequence":1,"born":1})";
    }

    // Accepts whatever comes until then; returns how many requests arrived.
    std::size_t requestsUntil(time_point until)
    {
        std::vector<pollfd> open{{m_listener, POLLIN, 0}};
        std::size_t requests = 0;
        while (systemNow() < until) {
            poll(open.data(), open.size(), 20);
            for (std::size_t i = open.size(); i > 1; --i) {
                std::array<char, 4096> bytes{};
                const ssize_t got = open[i - 1].revents == 0 ? 0 : recv(open[i - 1].fd, bytes.data(), bytes.size(), MSG_DONTWAIT);
                requests += got > 0 && std::string_view(bytes.data(), 5) == "POST " ? 1 : 0;
                if (open[i - 1].revents != 0 && got <= 0) {
                    open.erase(open.begin() + static_cast<std::ptrdiff_t>(i - 1));
                }
            }
            if ((open[0].revents & POLLIN) != 0) {
                m_sockets.push_back(accept(m_listener, nullptr, nullptr));
                open.push_back({m_sockets.back(), POLLIN, 0});
            }
        }
        return requests;
    }

private:
    int m_listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in m_address{};
    std::vector<int> m_sockets;
};

} // namespace

// The daemon chooses the endpoint, the connection to it opens only after the endpoint has said that it leaves.
Test(leaving_endpoints, a_request_whose_connection_opens_late_does_not_reach_an_endpoint_that_leaves, .timeout = 60)
{
    full_endpoint full;
    small_deployment all;
    all.store.put("servers/full-1", full.entry("ready"));
    all.start();
    cr_assert(eventually([&all] { return all.routers.back()->usableEndpointCount() >= 5; }));
    all.store.remove("servers/writer-1");
    all.store.remove("servers/writer-2");
    cr_assert(eventually([&all] { return all.routers.back()->usableEndpointCount() == 3; }));
    std::deque<std::thread> callers;
    for (int number = 0; number < 8; ++number) {
        callers.emplace_back([&all, number] { all.ask("POST", "/chat/1", "chat" + std::to_string(number)); });
    }
    std::this_thread::sleep_for(300ms); // they open their connections
    all.store.put("servers/full-1", full.entry("draining"));
    const time_point acknowledgedAt = systemNow();
    cr_assert(eventually([&all] { return all.routers.back()->isLeaving("full-1"); }));
    std::this_thread::sleep_until(std::chrono::steady_clock::now() + 400ms);
    const std::size_t requests = full.requestsUntil(acknowledgedAt + leavingWithin + 3s);
    for (std::thread &item : callers) {
        item.join();
    }
    cr_expect_eq(requests, 0, "%zu requests", requests);
}
