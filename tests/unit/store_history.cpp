// Positions, eras and records of the store's returns, without a network.
#include "chicoryrouter/store_history.h"
#include "chicoryrouter/hash.h"

#include <criterion/criterion.h>

#include <vector>

using namespace chicoryrouter;
using namespace std::chrono_literals;

namespace {

const time_point start = time_point(1'780'000'000s);

// The eras before each return that was noticed.
struct return_log
{
    explicit return_log(store_eras &eras)
    {
        eras.onReturn = [this](std::uint64_t before) {
            noticed.push_back(before);
        };
    }

    std::vector<std::uint64_t> noticed;
};

return_record someRecord()
{
    return_record record;
    record.firstEra = 3;
    record.era = 5;
    record.seenAt = start + 17ms;
    record.configurationVersion = 12;
    record.orders["writer"] = {300, hashBytes("order")};
    record.ordersUntil = 80;
    return record;
}

} // namespace

Test(store_history, a_number_for_peers_and_platforms_never_falls_over_a_return)
{
    cr_assert_eq(risingNumber({7, 480}, 7), 480, "the revision itself until the store returns, as former builds count");
    const std::vector<store_position> rising = {{7, 480}, {7, 900}, {8, 3}, {8, 480}, {9, 1}, {20, 0}};
    for (std::size_t i = 1; i < rising.size(); ++i) {
        cr_assert_lt(risingNumber(rising[i - 1], 7), risingNumber(rising[i], 7));
    }
    constexpr std::uint64_t largestInJson = std::uint64_t{1} << 53U;
    cr_assert_lt(risingNumber({UINT64_MAX, UINT32_MAX}, 7), largestInJson);
    cr_assert_eq(risingNumber({2, 5}, 7), 5, "an era before the first one known");
}

Test(store_history, a_store_without_eras_is_used_as_it_is)
{
    store_eras eras;
    return_log returns(eras);
    cr_assert(eras.accepts("", start, start) && !eras.areStated() && eras.current() == 0);
    cr_assert(returns.noticed.empty());
}

Test(store_history, a_late_answer_of_the_era_before_changes_nothing)
{
    store_eras eras;
    return_log returns(eras);
    cr_assert(eras.accepts("4", start, start) && returns.noticed.empty(), "the first era seen is no return");
    cr_assert(eras.accepts("5", start + 1s, start + 2s));
    cr_assert(returns.noticed == std::vector<std::uint64_t>{4});
    cr_assert(!eras.accepts("4", start + 1s, start + 3s), "asked before the return was known");
    cr_assert(eras.current() == 5 && returns.noticed.size() == 1);
}

Test(store_history, a_store_that_lost_its_count_of_returns_has_returned)
{
    store_eras eras;
    return_log returns(eras);
    cr_assert(eras.accepts("5", start, start));
    cr_assert(eras.accepts("2", start + 1s, start + 2s), "asked after era 5 was known");
    cr_assert(eras.current() == 2 && returns.noticed == std::vector<std::uint64_t>{5});
}

Test(store_history, an_answer_whose_era_cannot_be_read_is_not_used)
{
    store_eras eras;
    cr_assert(eras.accepts("4", start, start));
    for (const char *broken : {"", "x", "-1", "5 ", "5x", "99999999999999999999999"}) {
        cr_assert(!eras.accepts(broken, start + 1s, start + 1s), "'%s'", broken);
    }
    cr_assert(eras.current() == 4 && eras.accepts("4", start + 2s, start + 2s));
}

Test(store_history, a_record_survives_its_encoding_and_garbage_is_none)
{
    const return_record record = someRecord();
    const std::optional<return_record> back = decodeReturn(encodeReturn(record));
    cr_assert(back && back->firstEra == 3 && back->era == 5 && back->seenAt == record.seenAt && back->configurationVersion == 12);
    cr_assert(back->orders.at("writer").order == 300 && back->orders.at("writer").content == hashBytes("order") && back->ordersUntil == 80);
    for (const char *broken : {"", "{}", "[]", "null", R"({"first_era":1,"era":"2"})", R"({"first_era":-1,"era":2,"seen_ms":1e300,"configuration":0})"}) {
        cr_assert(!decodeReturn(broken), "'%s'", broken);
    }
}

Test(store_history, an_order_that_is_written_again_is_not_carried_out_twice)
{
    const return_record record = someRecord();
    cr_assert_eq(orderOf(record, "writer", "order", 41), 300, "the same order at another revision");
    cr_assert_eq(orderOf(record, "writer", "another order", 41), 41);
    cr_assert_eq(orderOf(record, "writer", "order", 81), 81, "given again later: a new one");
    cr_assert_eq(orderOf(record, "shop", "order", 41), 41);
    cr_assert_eq(orderOf(std::nullopt, "writer", "order", 41), 41);
}

Test(store_history, an_endpoint_that_left_is_not_used_because_a_copy_lists_it)
{
    departed_entries departed;
    departed.onListed("lives", 1);
    departed.onListed("left", 1);
    departed.onListed("replaced", 1);
    departed.onRemoved("left", 1, start);
    departed.onListed("replaced", 2);
    cr_assert(!departed.passesOver("left", 1, start), "back in the same era: it lives");
    departed.onReturn(start + 1s);
    cr_assert(departed.passesOver("left", 1, start + 2s) && departed.passesOver("replaced", 1, start + 2s));
    cr_assert(!departed.passesOver("lives", 1, start + 2s) && !departed.passesOver("left", 2, start + 2s) && !departed.passesOver("unknown", 1, start + 2s));
    const time_point expired = departed.until();
    cr_assert(expired <= start + 12s && !departed.passesOver("left", 1, expired), "still listed without heartbeats of its own: it lives");
}

Test(store_history, an_endpoint_that_left_stays_out_over_two_returns)
{
    departed_entries departed;
    departed.onListed("left", 1);
    departed.onRemoved("left", 1, start);
    departed.onReturn(start + 1s);
    departed.onListed("left", 1); // as the copy has it
    departed.onReturn(start + 2s);
    cr_assert(departed.passesOver("left", 1, start + 3s));
}
