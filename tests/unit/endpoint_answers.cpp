// What endpoints ask for in their answers: no new requests because they leave, or a rest.
#include "support/small_deployment.h"

#include "relay_dialect.h"
#include "shell/clock.h"

#include <criterion/criterion.h>

#include <string>
#include <thread>

using namespace chicoryrouter;
using namespace std::chrono_literals;

using test::eventually;
using test::small_deployment;

namespace {

// Asks until the endpoint has got a request.
void askUntilReached(small_deployment &all, hosted_endpoint &endpoint)
{
    int number = 0;
    const bool reached = eventually([&] {
        all.ask("POST", "/chat/1", "first" + std::to_string(++number));
        return !endpoint.seen().empty();
    });
    cr_assert(reached, "no request reached the endpoint");
}

// Requests that reach the endpoint while callers ask for `span`.
std::size_t arrivalsWithin(small_deployment &all, hosted_endpoint &endpoint, duration span)
{
    const std::size_t before = endpoint.seen().size();
    const time_point until = systemNow() + span;
    for (int number = 0; systemNow() < until; ++number) {
        all.ask("POST", "/chat/1", "later" + std::to_string(number));
        std::this_thread::sleep_for(20ms);
    }
    return endpoint.seen().size() - before;
}

} // namespace

// The answer is the first to tell, where the store is late or silent.
Test(endpoint_answers, an_endpoint_that_says_that_it_leaves_gets_no_new_request, .timeout = 60)
{
    constexpr duration leavingWithin = 2s;
    small_deployment all;
    all.start();
    all.writer1.faults.saysLeaving = true;
    askUntilReached(all, all.writer1);
    std::this_thread::sleep_for(leavingWithin);
    const std::size_t arrivals = arrivalsWithin(all, all.writer1, 2s);
    cr_expect_eq(arrivals, 0, "%zu requests", arrivals);
}

// Two daemons: one passes on the answer, and the other hears of it, while the store says nothing.
Test(endpoint_answers, other_daemons_hear_that_an_endpoint_leaves, .timeout = 60)
{
    small_deployment all;
    all.start("entry-1");
    all.start("entry-2");
    all.writer1.faults.saysLeaving = true;
    askUntilReached(all, all.writer1);
    cr_assert(eventually([&] { return all.routers[0]->isLeaving("writer-1"); }));
    cr_expect(eventually([&] { return all.routers[1]->isLeaving("writer-1"); }), "the other daemon goes on using it");
    cr_expect(!all.routers[1]->isLeaving("writer-2"));
}

Test(endpoint_answers, an_endpoint_that_asks_for_rest_gets_it, .timeout = 60)
{
    constexpr int rest = 4; // s
    constexpr std::size_t allowed = 2;
    small_deployment all;
    all.start();
    all.writer1.faults.restSeconds = rest;
    askUntilReached(all, all.writer1);
    std::this_thread::sleep_for(500ms);
    const std::size_t arrivals = arrivalsWithin(all, all.writer1, std::chrono::seconds(rest) - 1s);
    cr_expect_leq(arrivals, allowed, "%zu requests within the rest", arrivals);
}

// Only a refusal can ask for a rest, in seconds; what says anything else asks for none, and nothing puts an endpoint out for good.
Test(endpoint_answers, a_rest_that_is_no_number_of_seconds_is_none)
{
    const auto restAskedBy = [](int status, const std::string &value, const std::string &id = "r1") {
        return platform::relay_endpoints::readAnswer(status, {{"X-Request-Id", id}, {"Retry-After", value}}, "r1").asksRest;
    };
    cr_expect(restAskedBy(503, "4") == 4s);
    cr_expect(restAskedBy(503, " 0.25 ") == 250ms);
    cr_expect(restAskedBy(503, "1e300") == maxEndpointRest);
    cr_expect(restAskedBy(503, "inf") == maxEndpointRest);
    for (const char *none : {"", "0", "-3", "nan", "4 s", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        cr_expect(restAskedBy(503, none) == duration{}, "%s", none);
    }
    for (const int status : {200, 421, 429, 500}) {
        cr_expect(restAskedBy(status, "4") == duration{}, "status %d", status);
    }
    cr_expect(restAskedBy(503, "4", "r2") == duration{}, "the refusal of another request");
}
