// Open requests at a planned stop, without a network: each has its answer, a truthful one, before the daemon ends.
#include "chicoryrouter/request_machine.h"
#include "chicoryrouter/retry_budget.h"
#include "chicoryrouter/stop_plan.h"
#include "support/world.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace chicoryrouter;
using namespace std::chrono_literals;

namespace {

constexpr time_point stopAt = test::worldStart + 1s; // the requests arrive at worldStart
const stop_plan plan = planStop(stopAt, 8s);

contract routeOf(const std::string &name)
{
    contract route;
    route.route = name;
    route.service = "m";
    route.streamed = true;
    route.deadline = 15s;
    route.queueLimit = 15s;
    route.firstTokenTarget = 400ms;
    return route;
}

// One request of a service, and what its state machine asked for last.
struct request_trial
{
    explicit request_trial(const contract &route = routeOf("chat"))
        : machine(makeFacts("r1", "a", route, service_kind::Model, test::worldStart), budget)
    {
        target->id = "e1";
        target->load = std::make_shared<endpoint_load>();
        target->load->slots = 1;
        actions = machine.start(test::worldStart);
    }

    void send(bool byteSent = true)
    {
        cr_assert(target->load->tryAcquire());
        actions = machine.onSlot(target, test::worldStart);
        if (byteSent) {
            machine.onSent(1, test::worldStart);
        }
    }

    void stop() { actions = machine.onStopping(plan.bounds, stopAt); }

    // Calls every timer until then.
    void runUntil(time_point until)
    {
        while (!machine.isOver() && machine.nextDeadline() <= until) {
            actions = machine.onTimer(machine.nextDeadline());
        }
    }

    [[nodiscard]] std::optional<error_kind> failure() const
    {
        const auto found = std::find_if(actions.begin(), actions.end(), [](const auto &action) { return std::holds_alternative<fail_request>(action); });
        return found == actions.end() ? std::nullopt : std::optional(std::get<fail_request>(*found).kind);
    }

    retry_budget budget;
    request_machine machine;
    std::shared_ptr<endpoint> target = std::make_shared<endpoint>();
    request_actions actions;
};

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
    request.stop();
    cr_assert(!request.machine.isOver(), "a slot may still become free in time");
    request.runUntil(plan.bounds.sendUntil);
    cr_assert(request.failure() == error_kind::ShuttingDown);
}

Test(stop_bounds, a_request_that_an_endpoint_does_not_answer_fails_in_time)
{
    request_trial request;
    request.send();
    request.stop();
    request.runUntil(plan.bounds.answerUntil - 1ms);
    cr_assert(!request.machine.isOver(), "the endpoint may still answer");
    request.runUntil(plan.bounds.answerUntil);
    cr_assert(request.failure() == error_kind::StoppedUnanswered);
    const auto cancels = [](const auto &action) {
        return std::holds_alternative<cancel_attempt>(action);
    };
    cr_assert(std::any_of(request.actions.begin(), request.actions.end(), cancels));
}

// It connects all the while: no byte has left, so the refusal may say so.
Test(stop_bounds, a_request_that_reached_no_endpoint_is_refused_as_not_run)
{
    request_trial request;
    request.send(false);
    request.stop();
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
        request.stop();
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
    request.stop();
    request.runUntil(plan.giveUpAt);
    cr_assert(!request.machine.isOver());
}

// A peer that holds its copy continues it, and an end here would drop that copy.
Test(stop_bounds, a_request_that_must_finish_is_left_to_the_peer_with_its_copy)
{
    contract route = routeOf("write-up");
    route.mustFinish = true;
    request_trial request(route);
    request.stop();
    request.runUntil(plan.giveUpAt);
    cr_assert(!request.machine.isOver());
}
