// A stream that breaks off and is sent again: what its repeat answers never makes a broken stream look whole.
#include "support/small_deployment.h"

#include <criterion/criterion.h>

#include <array>

using namespace chicoryrouter;
using test::small_deployment;
using test::wholeStream;

namespace {

// One model endpoint, so that the repeat runs where the stream broke off.
struct one_writer : small_deployment
{
    one_writer()
    {
        start();
        store.remove("servers/writer-2");
        cr_assert(test::eventually([this] { return routers.front()->isLeaving("writer-2"); }));
        writer1.faults.cutNext = 1;
    }
};

// Statuses that end a request or could be taken for a success, but continue no stream.
constexpr std::array<int, 3> otherStatuses = {500, 404, 206};

} // namespace

// The failure's body used to be taken for the first piece, which was delivered already, and its end for the stream's.
Test(resumed_streams, a_failure_that_answers_the_resumption_does_not_complete_the_stream, .timeout = 60)
{
    for (const int status : otherStatuses) {
        for (const std::uint32_t cutAt : {2U, 3U}) {
            one_writer all;
            all.writer1.faults.cutAtEvent = cutAt;
            all.writer1.faults.repeatStatus = status;
            const auto chat = all.ask("POST", "/chat/1", "c1");
            cr_expect(!chat.complete, "%d after a cut in event %u: looks whole", status, cutAt);
            std::string received;
            for (std::uint32_t number = 1; number < cutAt; ++number) {
                received += hostedEvent(number);
            }
            cr_expect_str_eq(chat.response.body.c_str(), received.c_str());
            cr_expect_eq(all.runsOf("c1"), 2);
        }
    }
}

// Nothing of the first answer has reached the caller: the repeat's answer is passed on as it is, under its own status.
Test(resumed_streams, a_failure_after_a_head_without_events_is_no_success, .timeout = 60)
{
    for (const int status : otherStatuses) {
        one_writer all;
        all.writer1.faults.cutAtEvent = 0;
        all.writer1.faults.repeatStatus = status;
        const auto chat = all.ask("POST", "/chat/1", "c1");
        cr_expect_eq(chat.response.status, status, "got %d", chat.response.status);
        cr_expect_str_eq(chat.response.body.c_str(), "failed");
        cr_expect_eq(all.runsOf("c1"), 2);
    }
}

// The pieces of the second run come under its own head.
Test(resumed_streams, an_answer_begun_anew_comes_under_the_head_of_its_own_run)
{
    small_deployment all;
    all.start();
    all.writer1.faults.cutAtEvent = 0;
    all.writer1.faults.cutNext = 1;
    std::string id;
    sync_client::partial_response chat;
    const bool cut = test::eventually([&] {
        id += "c";
        chat = all.ask("POST", "/chat/1", id);
        return all.writer1.faults.cutNext == 0;
    });
    cr_assert(cut, "no stream reached the endpoint that cuts it");
    cr_assert_eq(all.writer1.runs()[id], 1);
    cr_assert_eq(all.writer2.runs()[id], 1);
    cr_expect(chat.complete && chat.response.body == wholeStream());
    cr_expect_str_eq(std::string(findHeader(chat.response.headers, "X-Response-Seal")).c_str(), "seal-writer-2");
}
