// Claims: the same key never runs twice, whatever becomes of the key-value service's replies.
#include "chicoryrouter/claim.h"
#include "support/world.h"

#include <criterion/criterion.h>

using namespace chicoryrouter;
using namespace chicoryrouter::test;
using namespace std::chrono_literals;
using step = claim_machine::step;

namespace {

const time_point someday = worldStart;

claim_record recordOf(const std::string &nonce, std::uint64_t body = 1)
{
    claim_record record;
    record.nonce = nonce;
    record.requestId = nonce;
    record.bodyHash = body;
    record.ownerDeadline = someday + 10s;
    return record;
}

store_reply holding(const claim_record &record)
{
    return {store_outcome::Ok, 3, encodeClaim(record)};
}

const store_reply lost{};
const store_reply conflict{store_outcome::Conflict, 3, {}};
const store_reply absent{store_outcome::NotFound, 0, {}};

struct order_world
{
    order_world()
        : all(worldDocument(), 2, 1)
    {
        all.addEndpoint("s1", "fd-1", "shop");
        all.addEndpoint("s2", "fd-2", "shop");
    }

    void askAt(duration when, const std::string &id, std::size_t node, const std::string &body = "b")
    {
        all.at(worldStart + when, [this, id, node, body] { all.ask(id, "orders", 1, node, "key", body); });
    }

    int runs() const
    {
        int sum = 0;
        for (const auto &[id, request] : all.requests()) {
            sum += request.runs;
        }
        return sum;
    }

    world all;
};

} // namespace

Test(claims, a_lost_reply_is_settled_by_the_nonce)
{
    claim_machine mine(recordOf("a"), someday + 5s);
    cr_assert_eq(mine.onCreated(lost, someday), step::Wait);
    cr_assert_eq(mine.onRetry(someday + 50ms), step::Read);
    cr_assert_eq(mine.onRead(holding(recordOf("a")), someday + 60ms), step::Acquired);

    claim_machine other(recordOf("b"), someday + 5s);
    cr_assert_eq(other.onCreated(lost, someday), step::Wait);
    cr_assert_eq(other.onRead(holding(recordOf("a")), someday + 60ms), step::Wait);
    cr_assert_eq(other.onRetry(someday + 110ms), step::Read);
    cr_assert_eq(other.onRead(holding(recordOf("a")), someday + 600ms), step::Refused);
    cr_assert_eq(other.refusal(), error_kind::ClaimedElsewhere);
}

// A caller may come back with its answer in hand before the record of it is written.
Test(claims, an_answer_that_is_being_recorded_is_waited_for)
{
    claim_machine again(recordOf("b"), someday + 5s);
    cr_assert_eq(again.onCreated(conflict, someday), step::Read);
    cr_assert_eq(again.onRead(holding(recordOf("a")), someday + 5ms), step::Wait);
    claim_record settled = recordOf("a");
    settled.done = true;
    settled.status = 200;
    settled.answer = "order 1";
    cr_assert_eq(again.onRetry(someday + 55ms), step::Read);
    cr_assert_eq(again.onRead(holding(settled), someday + 60ms), step::Replay);
    cr_assert(again.existingRecord().answer == "order 1");
}

Test(claims, a_write_that_never_arrived_is_made_again)
{
    claim_machine mine(recordOf("a"), someday + 5s);
    mine.onCreated(lost, someday);
    cr_assert_eq(mine.onRead(absent, someday + 50ms), step::Wait);
    cr_assert_eq(mine.onRetry(someday + 100ms), step::Create);
    cr_assert_eq(mine.onCreated({store_outcome::Ok, 9, {}}, someday + 110ms), step::Acquired);
    cr_assert_eq(mine.version(), 9);
}

Test(claims, without_the_service_the_call_is_refused_as_not_run_and_the_record_cleaned_up)
{
    claim_machine mine(recordOf("a"), someday + 100ms);
    cr_assert_eq(mine.onCreated(lost, someday), step::Wait);
    cr_assert_eq(mine.onRead(lost, someday + 90ms), step::Refused);
    cr_assert_eq(mine.refusal(), error_kind::PlatformUnavailable);
    cr_assert_eq(responseFor(mine.refusal()).ran, ran_state::No);
    cr_assert(mine.mayHaveOrphanedRecord());
}

Test(claims, a_key_with_another_body_is_refused)
{
    claim_machine mine(recordOf("a", 2), someday + 5s);
    cr_assert_eq(mine.onCreated(conflict, someday), step::Read);
    cr_assert_eq(mine.onRead(holding(recordOf("b", 1)), someday), step::Refused);
    cr_assert_eq(mine.refusal(), error_kind::KeyReused);
}

Test(claims, a_settled_key_gives_its_answer_and_an_abandoned_one_a_truthful_error)
{
    claim_record done = recordOf("b");
    done.done = true;
    done.status = 200;
    done.answer = std::string("bytes\0and zeros", 15);
    claim_machine again(recordOf("a"), someday + 5s);
    again.onCreated(conflict, someday);
    cr_assert_eq(again.onRead(holding(done), someday), step::Replay);
    cr_assert_eq(again.existingRecord().answer, done.answer);

    claim_machine late(recordOf("a"), someday + 30s);
    late.onCreated(conflict, someday + 20s);
    cr_assert_eq(late.onRead(holding(recordOf("b")), someday + 20s), step::Refused);
    cr_assert_eq(late.refusal(), error_kind::AnswerNotHeld);
    cr_assert_eq(responseFor(late.refusal()).ran, ran_state::Unknown);

    done.status = 0; // the answer was too large to hold
    claim_machine unheld(recordOf("a"), someday + 5s);
    unheld.onCreated(conflict, someday);
    cr_assert_eq(unheld.onRead(holding(done), someday), step::Refused);
    cr_assert_eq(unheld.refusal(), error_kind::AnswerNotHeld);
}

Test(claims, what_is_no_record_is_never_run_over)
{
    claim_machine mine(recordOf("a"), someday + 5s);
    mine.onCreated(conflict, someday);
    cr_assert_eq(mine.onRead({store_outcome::Ok, 1, "garbage"}, someday), step::Refused);
}

Test(claims, two_daemons_racing_with_one_key_run_it_once)
{
    order_world orders;
    orders.askAt(1s, "first", 0);
    orders.askAt(1s, "second", 1);
    orders.all.runUntil(worldStart + 30s);
    cr_assert_eq(orders.runs(), 1);
    cr_assert(orders.all.faults().empty());
}

Test(claims, a_daemon_killed_between_claim_and_send_leaves_the_key_unrun_and_says_so_truthfully)
{
    order_world orders;
    orders.all.store.delay = 20ms;
    orders.askAt(1s, "first", 1);
    // The claim is written after 20 ms; its reply would come after 40 ms.
    orders.all.at(worldStart + 1030ms, [&] { orders.all.killNode(1); });
    orders.askAt(2s, "soon", 0);
    orders.askAt(20s, "late", 0);
    orders.all.runUntil(worldStart + 60s);
    cr_assert_eq(orders.runs(), 0);
    cr_assert_eq(orders.all.request("soon").failure, error_kind::ClaimedElsewhere);
    cr_assert_eq(orders.all.request("late").failure, error_kind::AnswerNotHeld);
}

Test(claims, a_daemon_killed_between_send_and_answer_is_not_repeated)
{
    order_world orders;
    orders.askAt(1s, "first", 1);
    orders.all.at(worldStart + 1007ms, [&] { orders.all.killNode(1); });
    orders.askAt(20s, "late", 0);
    orders.all.runUntil(worldStart + 60s);
    cr_assert_eq(orders.all.request("first").runs, 1);
    cr_assert_eq(orders.runs(), 1);
    cr_assert_eq(orders.all.request("late").failure, error_kind::AnswerNotHeld);
}

Test(claims, a_slow_service_delays_and_a_service_that_is_down_refuses)
{
    order_world orders;
    orders.all.store.delay = 400ms;
    orders.askAt(1s, "slow", 0);
    orders.all.at(worldStart + 10s, [&] { orders.all.store.down = true; });
    orders.all.at(worldStart + 11s, [&] { orders.all.ask("down", "orders", 1, 0, "other", "b"); });
    orders.all.runUntil(worldStart + 60s);
    cr_assert(orders.all.request("slow").answered);
    cr_assert_eq(orders.all.request("down").failure, error_kind::PlatformUnavailable);
    cr_assert_eq(orders.all.request("down").runs, 0);
}

Test(claims, a_refusal_with_proof_frees_the_key)
{
    order_world orders;
    orders.all.setFault("s1", endpoint_fault::Refusing);
    orders.all.setFault("s2", endpoint_fault::Refusing);
    orders.askAt(1s, "refused", 0);
    orders.all.at(worldStart + 10s, [&] {
        orders.all.setFault("s1", endpoint_fault::None);
        orders.all.setFault("s2", endpoint_fault::None);
    });
    orders.askAt(11s, "again", 0);
    orders.all.runUntil(worldStart + 60s);
    cr_assert_eq(orders.all.request("refused").failure, error_kind::EndpointRefused);
    cr_assert(orders.all.request("again").answered);
    cr_assert_eq(orders.runs(), 1);
}
