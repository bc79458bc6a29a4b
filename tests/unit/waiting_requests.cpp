// Requests that wait for a slot when what they wait for goes away: they get a truthful answer in time, and don't wait on for nothing.
#include "support/small_deployment.h"

#include <criterion/criterion.h>

#include <deque>
#include <thread>

using namespace chicoryrouter;
using namespace std::chrono_literals;

using test::eventually;
using test::small_deployment;

namespace {

constexpr std::size_t slotsOfWriters = 8;  // of both endpoints of the model service
constexpr duration configurationTime = 3s; // until an accepted configuration is in force
constexpr duration queueTime = 5s;         // half of the 10 s that a caller gives
constexpr duration answerTime = 500ms;     // to send an answer

// Streams hold all slots of the model service, and one more request waits for a slot.
struct full_deployment
{
    full_deployment()
    {
        all.start();
        all.writer1.faults.workMillis = 2000; // before the answer and between its events: 14 s in all
        all.writer2.faults.workMillis = 2000;
        for (std::size_t i = 1; i <= slotsOfWriters; ++i) {
            callers.emplace_back([this, i] { all.ask("POST", "/write/1", "long-" + std::to_string(i), {}, "hello"); });
        }
        cr_assert(eventually([this] { return all.writer1.open() + all.writer2.open() == slotsOfWriters; }), "the streams did not reach the endpoints");
        callers.emplace_back([this] {
            answer = all.ask("POST", "/write/2", "waiting", {}, "hello");
            answeredAt = systemNow();
        });
        std::this_thread::sleep_for(200ms);
    }

    // Waits until all callers have their answers.
    void join()
    {
        for (std::thread &caller : callers) {
            caller.join();
        }
    }

    // `from`: until then it waits.
    void assertRefused(time_point from, time_point latest)
    {
        cr_expect(answer.complete && answer.response.status == 503, "status %d", answer.response.status);
        cr_expect_eq(all.runsOf("waiting"), 0);
        cr_expect_geq(answeredAt, from);
        cr_expect_leq(answeredAt, latest);
    }

    small_deployment all;
    std::deque<std::thread> callers;
    sync_client::partial_response answer; // of the request that waits; read it after join()
    time_point answeredAt{};
};

} // namespace

// A configuration without their route and service can't serve them any more.
Test(waiting_requests, a_configuration_that_ends_their_service_refuses_them)
{
    full_deployment full;
    nlohmann::json without = hostedConfiguration();
    without["Version"] = 2;
    without["Services"].erase(0);
    without["Routes"].erase(1);
    without["Routes"].erase(0);
    const time_point changedAt = systemNow();
    full.all.store.put("op/config", without.dump());
    full.join();
    full.assertRefused(changedAt, changedAt + configurationTime + answerTime);
}

// Without endpoints they wait for new ones, as long as a request may wait.
Test(waiting_requests, the_loss_of_all_endpoints_does_not_hold_them_beyond_their_wait)
{
    full_deployment full;
    const time_point lostAt = systemNow();
    full.all.store.remove("servers/" + full.all.writer1.id());
    full.all.store.remove("servers/" + full.all.writer2.id());
    full.join();
    full.assertRefused(lostAt, lostAt + queueTime + answerTime);
}
