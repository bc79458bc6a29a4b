// What an endpoint may send for one answer, and what becomes of a request whose answer is longer.
#include "chicoryrouter/answer_limits.h"
#include "support/request_trial.h"

#include <criterion/criterion.h>

#include <functional>
#include <optional>

using namespace chicoryrouter;
using namespace std::chrono_literals;
using test::request_trial;

namespace {

std::optional<error_kind> kindThrownBy(const std::function<void()> &call)
{
    try {
        call();
    } catch (const error &fault) {
        return fault.kind();
    }
    return std::nullopt;
}

} // namespace

Test(answer_limits, a_stated_number_of_tokens_decides_with_room_for_split_tokens)
{
    const answer_limits unstated{.pieces = 1000, .bytes = 2000, .pieceBytes = 3000};
    cr_assert_eq(limitsFor(0, unstated).pieces, 1000);
    cr_assert_geq(limitsFor(80, unstated).pieces, 80 * 4);
    cr_assert_leq(limitsFor(80, unstated).pieces, 80 * 5);
    cr_assert_geq(limitsFor(1, unstated).pieces, 4);
    cr_assert_geq(limitsFor(100'000, unstated).pieces, 400'000, "a long answer that was agreed is cut off");
    cr_assert_eq(limitsFor(UINT32_MAX, unstated).pieces, UINT32_MAX);
    cr_assert_eq(limitsFor(80, unstated).bytes, 2000);
}

Test(answer_limits, pieces_beyond_the_limit_are_refused_wherever_they_stand)
{
    answer_meter inOrder({.pieces = 100});
    for (std::uint32_t i = 0; i < 100; ++i) {
        inOrder.countPiece(i);
    }
    cr_assert_eq(kindThrownBy([&] { inOrder.countPiece(100); }), error_kind::AnswerTooLong);
    answer_meter repeated({.pieces = 100});
    for (std::uint32_t i = 0; i < 100; ++i) {
        repeated.countPiece(0);
    }
    cr_assert_eq(kindThrownBy([&] { repeated.countPiece(0); }), error_kind::AnswerTooLong);
    answer_meter resumed({.pieces = 100}); // behind 90 pieces of another endpoint
    for (std::uint32_t i = 90; i < 100; ++i) {
        resumed.countPiece(i);
    }
    cr_assert_eq(kindThrownBy([&] { resumed.countPiece(100); }), error_kind::AnswerTooLong);
}

Test(answer_limits, bytes_that_are_held_whole)
{
    const answer_meter meter({.bytes = 1000});
    meter.checkHeld(1000);
    cr_assert_eq(kindThrownBy([&] { meter.checkHeld(1001); }), error_kind::EndpointGarbage);
}

// Guards against a stream that looks complete because a sound endpoint went on behind the endless one.
Test(answer_limits, an_answer_that_is_too_long_ends_a_request_that_may_be_repeated)
{
    contract route = test::routeOf("chat");
    route.repeatable = true;
    request_trial trial(route);
    trial.send();
    for (std::uint32_t i = 0; i < 10; ++i) {
        cr_assert_eq(trial.machine.onToken(1, "r1", i, test::worldStart), token_result::Deliver);
    }
    trial.actions = trial.machine.onAttemptFailed(1, attempt_progress::MayHaveRun, error_kind::AnswerTooLong, test::worldStart);
    cr_assert_eq(trial.failure(), error_kind::AnswerTooLong);
    cr_assert(trial.machine.isOver());
    cr_assert(trial.asksFor<release_slot>());
    cr_assert_eq(responseFor(error_kind::AnswerTooLong).ran, ran_state::Unknown);
}
