// Requests that wait for a slot when what they wait for goes away: they get a truthful answer in time, and don't wait on for nothing.
#include "support/held_slots.h"

#include <criterion/criterion.h>

#include <deque>
#include <thread>

using namespace chicoryrouter;
using namespace std::chrono_literals;

using test::requestHead;
using test::small_deployment;
using test::socket_answer;
using test::socket_caller;
using test::takeAllSlots;

namespace {

constexpr duration configurationTime = 3s; // until an accepted configuration is in force
constexpr duration queueTime = 5s;         // half of the 10 s that a caller gives
constexpr duration answerTime = 500ms;     // to send an answer

// Streams hold all slots of the model service, and one more request waits for a slot.
struct full_deployment
{
    full_deployment()
    {
        all.start();
        takeAllSlots(all, all.routers.front()->gateway(), streams);
        cr_assert(waiting.connect(all.routers.front()->gateway()));
        cr_assert(waiting.send(requestHead("POST", "/write/2", "waiting", "Content-Length: 5\r\n") + "hello"));
        std::this_thread::sleep_for(200ms);
        cr_assert(!waiting.hasInput(), "it does not wait");
    }

    void assertRefused(time_point latest)
    {
        const socket_answer answer = waiting.readAnswer();
        const time_point answeredAt = systemNow();
        cr_expect(answer.isWhole() && answer.status == 503, "%s", answer.text().c_str());
        cr_expect_eq(all.runsOf("waiting"), 0);
        cr_expect_leq(answeredAt, latest);
    }

    small_deployment all;
    std::deque<socket_caller> streams;
    socket_caller waiting;
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
    full.assertRefused(changedAt + configurationTime + answerTime);
}

// Without endpoints they wait for new ones, as long as a request may wait.
Test(waiting_requests, the_loss_of_all_endpoints_does_not_hold_them_beyond_their_wait)
{
    full_deployment full;
    const time_point lostAt = systemNow();
    full.all.store.remove("servers/" + full.all.writer1.id());
    full.all.store.remove("servers/" + full.all.writer2.id());
    full.assertRefused(lostAt + queueTime + answerTime);
}
