// Open requests at a planned stop, without a network: each has its answer, a truthful one, before the daemon ends.
#include "chicoryrouter/stop_plan.h"
#include "support/request_trial.h"

#include <criterion/criterion.h>

using namespace chicoryrouter;
using namespace std::chrono_literals;

using test::factsOf;
using test::request_trial;
using test::routeOf;

namespace {

constexpr time_point stopAt = test::worldStart + 1s; // the requests arrive at worldStart
const stop_plan plan = planStop(stopAt, 8s);

void stop(request_trial &request)
{
    request.actions = request.machine.onStopping(plan.bounds, stopAt);
}

// Not before it has to.
void assertFailsUnanswered(request_trial &request)
{
    request.runUntil(plan.bounds.answerUntil - 1ms);
    cr_assert(!request.machine.isOver(), "the endpoint may still answer");
    request.runUntil(plan.bounds.answerUntil);
    cr_assert(request.failure() == error_kind::StoppedUnanswered);
}

} // namespace

Test(stop_bounds, the_moments_of_a_stop_are_in_order)
{
    for (const duration within : {duration(0s), duration(100ms), duration(1s), duration(2s), duration(5s), duration(8s), duration(1h)}) {
        const stop_plan all = planStop(stopAt, within);
        cr_expect_leq(stopAt, all.serveUntil);
        cr_expect_leq(all.serveUntil, all.bounds.sendUntil);
        cr_expect_leq(all.bounds.sendUntil, all.closeAt);
        cr_expect_leq(all.closeAt, all.bounds.answerUntil);
        cr_expect_leq(all.bounds.answerUntil, all.giveUpAt);
        cr_expect_leq(all.giveUpAt, stopAt + within);
        cr_expect(within == 0s || all.bounds.answerUntil < all.giveUpAt, "no time to send the errors");
    }
}

// It could wait for half of its deadline, which was beyond the end of the process.
Test(stop_bounds, a_request_that_waits_for_a_slot_is_refused_as_not_run)
{
    request_trial request;
    stop(request);
    cr_assert(!request.machine.isOver(), "a slot may still become free in time");
    request.runUntil(plan.bounds.sendUntil);
    cr_assert(request.failure() == error_kind::ShuttingDown);
}

Test(stop_bounds, a_request_that_an_endpoint_does_not_answer_fails_in_time)
{
    request_trial request;
    request.send();
    stop(request);
    assertFailsUnanswered(request);
    cr_assert(request.asksFor<cancel_attempt>());
}

// It connects all the while: no byte has left, so the refusal may say so.
Test(stop_bounds, a_request_that_reached_no_endpoint_is_refused_as_not_run)
{
    request_trial request;
    request.send(false);
    stop(request);
    request.runUntil(plan.bounds.answerUntil);
    cr_assert(request.failure() == error_kind::ShuttingDown);
}

// No attempt begins late in a stop; what may have run is not refused as not run.
Test(stop_bounds, a_request_that_waits_for_its_next_attempt_ends_truthfully)
{
    for (const attempt_progress progress : {attempt_progress::MayHaveRun, attempt_progress::ProvedNotRun}) {
        contract route = routeOf("look");
        route.repeatable = true;
        request_trial request(route);
        request.send();
        stop(request);
        request.actions = request.machine.onAttemptFailed(1, progress, error_kind::EndpointRefused, plan.bounds.sendUntil + 1s);
        request.runUntil(plan.bounds.sendUntil + 1s);
        const error_kind expected = progress == attempt_progress::MayHaveRun ? error_kind::StoppedUnanswered : error_kind::ShuttingDown;
        cr_assert(request.failure() == expected, "%s", std::string(toText(progress)).c_str());
    }
}

// The daemon gives its caller more pieces until it closes the connection.
Test(stop_bounds, a_stream_that_has_begun_goes_on)
{
    contract route = routeOf("chat");
    route.betweenTokensTarget = 1s;
    request_trial request(route);
    request.send();
    cr_assert(request.machine.onToken(1, "r1", 0, stopAt) == token_result::Deliver);
    stop(request);
    request.runUntil(plan.giveUpAt);
    cr_assert(!request.machine.isOver());
}

// A peer that holds its copy continues it, and an end here would drop that copy.
Test(stop_bounds, a_request_that_must_finish_is_left_to_the_peer_with_its_copy)
{
    contract route = routeOf("write-up");
    route.mustFinish = true;
    request_trial request(route);
    stop(request);
    request.runUntil(plan.giveUpAt);
    cr_assert(!request.machine.isOver());
}

// Its claim is still being written in the key-value service. It is refused, and a claim that is won later sends nothing any more.
Test(stop_bounds, a_request_that_waits_for_its_claim_is_refused_and_never_sent)
{
    contract route = routeOf("orders");
    request_facts facts = factsOf(route, service_kind::Plain);
    facts.needsClaim = true;
    request_trial request(facts);
    request.grantSlot();
    cr_assert(request.asksFor<make_claim>());
    stop(request);
    request.runUntil(plan.bounds.sendUntil - 1ms);
    cr_assert(!request.machine.isOver(), "the claim may still be won in time");
    request.runUntil(plan.bounds.sendUntil);
    cr_assert(request.failure() == error_kind::ShuttingDown);
    request.actions = request.machine.onClaimed(plan.bounds.sendUntil + 1ms);
    cr_assert(request.actions.empty());
}

// The first attempt may still be answered, so the end of the time to send does not end it; a slot that is granted after its end goes back.
Test(stop_bounds, a_hedge_that_waits_for_a_slot_ends_with_the_first_attempt)
{
    contract route = routeOf("look");
    route.repeatable = true;
    request_trial request(factsOf(route, service_kind::Plain));
    request.send();
    request.runUntil(test::worldStart + route.firstTokenTarget);
    cr_assert(request.asksFor<acquire_slot>(), "no hedge");
    stop(request);
    assertFailsUnanswered(request);
    const endpoint_ptr other = test::endpointWithSlot("e2");
    cr_assert(other->load->tryAcquire());
    request.actions = request.machine.onSlot(other, plan.bounds.answerUntil + 1ms);
    cr_assert(request.asksFor<release_slot>() && !request.asksFor<send_attempt>());
}

// Its endpoint is reclaimed and has not answered; the stream is still there until another endpoint has a slot.
Test(stop_bounds, a_move_that_waits_for_a_slot_ends_with_its_attempt)
{
    contract route = routeOf("chat");
    route.repeatable = true;
    route.firstTokenTarget = 10s; // its silence is not the endpoint's fault before the end of the stop
    request_trial request(route);
    request.send();
    request.actions = request.machine.onReclaimNotice("e1", plan.giveUpAt, move_method::Resume, test::worldStart);
    cr_assert(request.asksFor<acquire_slot>(), "no move");
    stop(request);
    assertFailsUnanswered(request);
}
