// What endpoints bear and how it is divided; retries; fair queueing.
#include "chicoryrouter/admission_queue.h"
#include "chicoryrouter/endpoint_limit.h"
#include "chicoryrouter/fleet.h"
#include "chicoryrouter/hash.h"
#include "chicoryrouter/retry_budget.h"
#include "support/world.h"

#include <criterion/criterion.h>

#include <map>
#include <numeric>

using namespace chicoryrouter;
using namespace std::chrono_literals;

namespace {

const time_point someday = test::worldStart;

std::vector<std::uint64_t> memberHashes(std::size_t count)
{
    std::vector<std::uint64_t> members;
    for (std::size_t i = 0; i < count; ++i) {
        members.push_back(hashBytes("entry-" + std::to_string(i)));
    }
    return members;
}

waiting_request waiting(std::uint64_t ticket, const std::string &account, priority rank = priority::Normal, double weight = 1.0)
{
    return {ticket, account, weight, rank, someday + 1s, false};
}

fleet fleetOf(std::size_t endpoints)
{
    fleet all("fd-1", 1);
    all.setDocument(std::make_shared<revisioned_document>(makeRevisioned(1, test::worldDocument())));
    std::vector<instance_record> list;
    for (std::size_t i = 0; i < endpoints; ++i) {
        list.push_back({"e" + std::to_string(i), "fd-1", instance_class::Reclaimable, "writer", "v1", {"10.0.0.1", 1}});
    }
    all.onInstanceList(list, someday);
    return all;
}

std::size_t usable(fleet &all)
{
    return all.buildTable()->find("writer")->groups[0].local.size();
}

} // namespace

Test(limits, parts_of_a_limit_sum_up_to_it_for_every_membership_of_1_to_9)
{
    for (std::size_t count = 1; count <= 9; ++count) {
        const auto members = memberHashes(count);
        for (std::uint32_t total = 0; total <= 40; ++total) {
            for (std::uint64_t key = 1; key <= 20; ++key) {
                std::uint32_t sum = 0;
                for (const std::uint64_t self : members) {
                    sum += slotShare(total, key, members, self);
                }
                cr_assert_eq(sum, total, "%zu members, limit %u", count, total);
            }
        }
    }
}

Test(limits, two_views_that_differ_by_one_member_exceed_a_limit_by_the_newcomers_part_at_most)
{
    for (std::size_t count = 1; count <= 8; ++count) {
        const auto fewer = memberHashes(count);
        const auto more = memberHashes(count + 1);
        for (std::uint32_t total = 0; total <= 40; ++total) {
            for (std::uint64_t key = 1; key <= 20; ++key) {
                // The worst mixture of views: each member holds the view that gives it more.
                std::uint32_t sum = slotShare(total, key, more, more.back());
                for (const std::uint64_t self : fewer) {
                    sum += std::max(slotShare(total, key, fewer, self), slotShare(total, key, more, self));
                }
                const auto newcomer = static_cast<std::uint32_t>((total + count) / (count + 1));
                cr_assert_leq(sum, total + newcomer, "%zu or %zu members, limit %u: %u", count, count + 1, total, sum);
            }
        }
    }
}

Test(limits, a_daemon_outside_the_membership_has_no_slots)
{
    cr_assert_eq(slotShare(100, 1, memberHashes(3), hashBytes("stranger")), 0);
}

Test(limits, a_fresh_endpoint_starts_small_and_doubles_with_completions)
{
    const version_spec version{"v1", 2, 16, true};
    const auto limitAt = [&](std::uint64_t completed) {
        return warmLimit(version, {"e", 1, 1, completed, 0, 0}, 0);
    };
    cr_assert_eq(limitAt(0), 2);
    cr_assert_eq(limitAt(3), 2);
    cr_assert_eq(limitAt(4), 4);
    cr_assert_eq(limitAt(12), 8);
    cr_assert_eq(limitAt(28), 16);
    cr_assert_eq(limitAt(100000), 16);
}

Test(limits, a_queue_at_the_endpoint_lowers_its_limit_to_what_runs)
{
    const version_spec version{"v1", 2, 16, true};
    cr_assert_eq(endpointLimit(version, {"e", 1, 1, 1000, 5, 3}, 0), 5);
    cr_assert_eq(endpointLimit(version, {"e", 1, 1, 1000, 0, 3}, 0), 1);
    cr_assert_eq(endpointLimit(version, {"e", 1, 1, 1000, 5, 0}, 0), 16);
}

Test(limits, an_endpoint_that_turns_cold_is_noticed_after_three_slow_answers_and_starts_over)
{
    fleet all = fleetOf(2);
    all.onLoadReport({"e0", 1, 1, 1000, 0, 0}, someday);
    const attempt_outcome usual{"e0", "writer", "v1", "chat", attempt_result::Completed, 50ms};
    for (int i = 0; i < 20; ++i) {
        all.onOutcome(usual, someday);
    }
    cr_assert_eq(all.status()[0].limit, 16);
    const attempt_outcome slow{"e0", "writer", "v1", "chat", attempt_result::Completed, 2s};
    all.onOutcome(slow, someday);
    all.onOutcome(slow, someday);
    cr_assert_eq(all.status()[0].limit, 16, "two slow answers may be chance");
    all.onOutcome(slow, someday);
    cr_assert_eq(all.status()[0].limit, 4);
}

Test(limits, a_new_epoch_in_a_report_starts_over)
{
    fleet all = fleetOf(1);
    all.onLoadReport({"e0", 1, 7, 1000, 0, 0}, someday);
    cr_assert_eq(all.status()[0].limit, 16);
    cr_assert(all.onLoadReport({"e0", 2, 1, 0, 0, 0}, someday));
    cr_assert_eq(all.status()[0].limit, 4);
    cr_assert_not(all.onLoadReport({"e0", 1, 8, 1000, 0, 0}, someday), "a late report of the old epoch is not taken");
    cr_assert_eq(all.status()[0].limit, 4);
}

Test(limits, a_failing_endpoint_is_set_aside_and_probed_with_one_request)
{
    fleet all = fleetOf(6);
    const attempt_outcome bad{"e0", "writer", "v1", "chat", attempt_result::Failed, {}};
    for (int i = 0; i < 3; ++i) {
        all.onOutcome(bad, someday);
    }
    cr_assert_eq(usable(all), 5);
    all.startDueProbes(someday + 4s);
    cr_assert_eq(usable(all), 5);
    all.startDueProbes(someday + 5s);
    cr_assert_eq(usable(all), 6);
    cr_assert_eq(all.status()[0].limit, 1);
    all.onOutcome(bad, someday + 6s);
    cr_assert_eq(usable(all), 5, "one failure of the probe sets it aside again");
    all.startDueProbes(someday + 15s);
    cr_assert_eq(usable(all), 5, "for twice as long");
    all.startDueProbes(someday + 16s);
    all.onOutcome({"e0", "writer", "v1", "chat", attempt_result::Completed, 50ms}, someday + 17s);
    cr_assert_gt(all.status()[0].limit, 1);
}

// Six daemons, an endpoint that runs more at once than it accepts connections: what all may have open there stays within its bound.
Test(limits, connections_to_an_endpoint_are_bounded_over_all_daemons)
{
    constexpr std::uint32_t mostConnections = 20;
    const std::vector<std::uint64_t> members = memberHashes(6);
    std::uint32_t sum = 0;
    for (const std::uint64_t self : members) {
        fleet all("fd-1", self);
        auto document = std::make_shared<revisioned_document>(makeRevisioned(1, test::worldDocument()));
        for (service &item : document->content.services) {
            item.anyVersion = true;
            item.maxConnections = mostConnections;
        }
        all.setDocument(document);
        all.setMembers(members);
        instance_record record{"e0", "fd-1", instance_class::Reclaimable, "writer", "v1", {"10.0.0.1", 1}};
        record.slots = 64;
        all.onInstanceList({record}, someday);
        const auto table = all.buildTable();
        const endpoint_load &load = *table->find("writer")->groups[1].local[0]->load;
        cr_assert_geq(load.slots, 1);
        sum += load.slots;
    }
    cr_assert_leq(sum, mostConnections);
}

// A quarter of the endpoints crash at once, as each of many daemons has to find out by its own few requests.
Test(limits, an_endpoint_that_cannot_be_reached_is_left_at_once_and_tried_again_soon)
{
    fleet all = fleetOf(6);
    const attempt_outcome unreachable{"e0", "writer", "v1", "chat", attempt_result::Unreachable, {}};
    all.onOutcome(unreachable, someday);
    cr_assert_eq(usable(all), 5);
    all.startDueProbes(someday + 1s);
    cr_assert_eq(usable(all), 6);
    all.onOutcome(unreachable, someday + 1s);
    all.startDueProbes(someday + 2s);
    cr_assert_eq(usable(all), 5, "for twice as long");
    for (const char *id : {"e1", "e2", "e3", "e4", "e5"}) {
        all.onOutcome({id, "writer", "v1", "chat", attempt_result::Unreachable, {}}, someday + 2s);
    }
    cr_assert_eq(usable(all), 1, "but the last one stays");
    all.startDueProbes(someday + 3s);
    all.onOutcome({"e1", "writer", "v1", "chat", attempt_result::Completed, 50ms}, someday + 3s);
    cr_assert_gt(all.status()[1].limit, 1, "one answer and it is as before");
}

Test(limits, no_more_than_a_third_of_a_version_is_set_aside)
{
    fleet all = fleetOf(6);
    for (int e = 0; e < 6; ++e) {
        for (int i = 0; i < 5; ++i) {
            all.onOutcome({"e" + std::to_string(e), "writer", "v1", "chat", attempt_result::Failed, {}}, someday);
        }
    }
    cr_assert_eq(usable(all), 4);
}

Test(limits, a_domain_taken_out_gets_nothing_and_comes_back)
{
    fleet all = fleetOf(3);
    cr_assert_eq(usable(all), 3);
    std::string text = test::worldDocument();
    const std::string line = "{name: fd-1, region: prairie}";
    text.replace(text.find(line), line.size(), "{name: fd-1, region: prairie, out: true}");
    all.setDocument(std::make_shared<revisioned_document>(makeRevisioned(2, text)));
    cr_assert_eq(usable(all), 0);
    all.setDocument(std::make_shared<revisioned_document>(makeRevisioned(3, test::worldDocument())));
    cr_assert_eq(usable(all), 3);
}

Test(limits, a_notice_is_not_taken_back_by_a_list_that_lags)
{
    fleet all = fleetOf(2);
    cr_assert_eq(all.onNotice("e0", someday + 10s).size(), 1);
    std::vector<instance_record> late;
    for (const char *id : {"e0", "e1"}) {
        late.push_back({id, "fd-1", instance_class::Reclaimable, "writer", "v1", {"10.0.0.1", 1}});
    }
    cr_assert_eq(all.onInstanceList(late, someday).size(), 0);
    cr_assert_eq(usable(all), 1);
    cr_assert_eq(all.onNotice("e0", someday + 10s).size(), 0, "a second notice is no news");
}

namespace {

// Two endpoints of which "e0" has said in an answer that it leaves; "e1" is of incarnation 1.
struct fleet_with_leaver
{
    explicit fleet_with_leaver(std::uint64_t incarnation = 1)
    {
        list(2, incarnation);
        all.buildTable();
        for (const endpoint_ptr &item : all.endpoints()) {
            leaver = item->id == "e0" ? item : leaver;
        }
        cr_assert(all.onLeavingAnswer(*leaver, someday));
    }

    // The first endpoint is listed with this incarnation if there are two, and without it if there is one.
    void list(std::size_t count, std::uint64_t incarnation)
    {
        std::vector<instance_record> records;
        for (std::size_t i = 2 - count; i < 2; ++i) {
            instance_record record{"e" + std::to_string(i), "fd-1", instance_class::Reclaimable, "writer", "v1", {"10.0.0.1", 1}};
            record.incarnation = i == 0 ? incarnation : 1;
            records.push_back(record);
        }
        all.onInstanceList(records, someday);
    }

    fleet all = fleetOf(0);
    endpoint_ptr leaver;
};

} // namespace

Test(limits, what_an_endpoint_says_of_its_leaving_outlasts_what_the_list_says)
{
    fleet_with_leaver one;
    cr_expect_eq(usable(one.all), 1);
    cr_expect(!one.all.onLeavingAnswer(*one.leaver, someday), "a second answer is no news");
    one.list(2, 1);
    cr_expect_eq(usable(one.all), 1, "the list says that it is ready");
    one.list(1, 1);
    one.list(2, 1);
    cr_expect_eq(usable(one.all), 1, "its entry lapsed and returned");
}

Test(limits, an_endpoint_that_left_and_was_started_again_is_used)
{
    fleet_with_leaver restartedAtOnce;
    restartedAtOnce.list(2, 2);
    cr_expect_eq(usable(restartedAtOnce.all), 2);
    cr_expect(!restartedAtOnce.all.onLeavingAnswer(*restartedAtOnce.leaver, someday), "a late answer of the former incarnation");
    cr_expect_eq(usable(restartedAtOnce.all), 2);
    fleet_with_leaver restartedLater;
    restartedLater.list(1, 1);
    restartedLater.list(2, 2);
    cr_expect_eq(usable(restartedLater.all), 2);
}

// A store that comes back from an older copy lists the endpoint as it was before its newest start, until the endpoint has written again.
Test(limits, an_entry_of_an_earlier_start_does_not_bring_back_an_endpoint_that_said_that_it_leaves)
{
    fleet_with_leaver one(5);
    one.list(2, 4);
    cr_expect_eq(usable(one.all), 1, "used by the entry of its earlier start");
    one.list(2, 5);
    cr_expect_eq(usable(one.all), 1, "used when its own entry is back");
    one.list(2, 6);
    cr_expect_eq(usable(one.all), 2, "not used after a new start");
}

Test(limits, an_entry_of_an_earlier_start_does_not_take_back_that_an_endpoint_leaves)
{
    fleet all = fleetOf(2);
    std::vector<instance_record> list;
    for (const char *id : {"e0", "e1"}) {
        list.push_back({id, "fd-1", instance_class::Reclaimable, "writer", "v1", {"10.0.0.1", 1}});
        list.back().incarnation = 5;
    }
    list[0].leaving = true;
    all.onInstanceList(list, someday);
    cr_assert_eq(usable(all), 1);
    list[0].leaving = false;
    list[0].incarnation = 4;
    all.onInstanceList(list, someday);
    cr_expect_eq(usable(all), 1);
}

// The endpoint is new to this daemon, or its entry has lapsed here.
Test(limits, a_departure_told_by_another_daemon_holds_for_its_incarnation)
{
    const departure told{"e0", 1, someday - 1s};
    fleet_with_leaver one;
    one.list(1, 1);
    one.list(2, 2);
    cr_expect_eq(usable(one.all), 2);
    cr_expect(!one.all.onDeparture(told, someday), "of a former incarnation");
    cr_expect_eq(usable(one.all), 2);
    cr_expect(one.all.onDeparture({"e0", 2, someday}, someday));
    cr_expect_eq(usable(one.all), 1);
    fleet unlisted = fleetOf(0);
    cr_expect(!unlisted.onDeparture(told, someday));
    std::vector<instance_record> records = {{"e0", "fd-1", instance_class::Reclaimable, "writer", "v1", {"10.0.0.1", 1}}};
    records[0].incarnation = 1;
    unlisted.onInstanceList(records, someday);
    cr_expect_eq(usable(unlisted), 0);
    fleet late = fleetOf(0);
    cr_expect(!late.onDeparture({"e0", 1, someday - departureMemory}, someday), "too old");
    late.onInstanceList(records, someday);
    cr_expect_eq(usable(late), 1);
}

Test(limits, departures_are_told_some_times_and_read_as_they_were_told)
{
    departure_reports reports;
    cr_expect(reports.datagrams(1400, someday).empty());
    for (int i = 0; i < 100; ++i) {
        reports.add({"endpoint-with-a-long-name-" + std::to_string(i), static_cast<std::uint64_t>(i), someday}, someday);
    }
    std::map<std::string, int> told;
    for (int round = 0; round < 200; ++round) {
        for (const std::string &bytes : reports.datagrams(300, someday + 2s)) {
            cr_assert_leq(bytes.size(), 300);
            const auto items = decodeDepartures(bytes, someday + 2s);
            cr_assert(items);
            for (const departure &item : *items) {
                cr_expect(item.saidAt == someday);
                ++told[item.endpointId];
            }
        }
    }
    cr_expect_eq(told.size(), 100);
    cr_expect(std::all_of(told.begin(), told.end(), [](const auto &item) { return item.second == 10; }));
    for (const std::string garbage : {"", "x", "\x91\x01",
             "\x91\x93\xa1"
             "a\x01\xff"}) {
        cr_expect(!decodeDepartures(garbage, someday));
    }
}

// Request threads see the mark before the table that leaves the endpoint out is published.
Test(limits, a_leaving_endpoint_grants_no_slot)
{
    fleet all = fleetOf(1);
    all.buildTable();
    endpoint_load &load = *all.endpoints().front()->load;
    cr_assert(load.tryAcquire());
    load.leaving = true;
    cr_expect(!load.tryAcquire());
    load.release();
}

// A refusal that asks for a rest holds until its time, whatever shorter one is read later, and no longer.
Test(limits, a_resting_endpoint_grants_no_slot_until_its_time)
{
    const time_point now = time_point{} + 100s;
    fleet all = fleetOf(1);
    all.buildTable();
    endpoint_load &load = *all.endpoints().front()->load;
    load.rest(now + 4s);
    load.rest(now + 1s);
    all.endRests(now + 3999ms);
    cr_expect(!load.acceptsNew() && !load.tryAcquire());
    all.endRests(now + 4s);
    cr_assert(load.tryAcquire());
    load.release();
}

Test(limits, an_account_limit_is_divided_by_demand_and_sums_up)
{
    cr_assert(divideByDemand(10, {0, 0}) == (std::vector<std::uint32_t>{5, 5}));
    cr_assert(divideByDemand(10, {3, 1}) == (std::vector<std::uint32_t>{7, 3}));
    cr_assert(divideByDemand(1, {1, 5}) == (std::vector<std::uint32_t>{0, 1}));
    seeded_random random(5);
    for (int round = 0; round < 1000; ++round) {
        std::vector<double> demand;
        for (std::uint64_t i = 0; i <= uniformBelow(random, 9); ++i) {
            demand.push_back(static_cast<double>(uniformBelow(random, 100)));
        }
        const auto total = static_cast<std::uint32_t>(uniformBelow(random, 200));
        const auto parts = divideByDemand(total, demand);
        cr_assert_eq(std::accumulate(parts.begin(), parts.end(), 0U), total);
    }
}

Test(limits, retries_stay_below_a_tenth_of_a_thousand_first_sends)
{
    retry_budget budget;
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.onFirstSend();
        retries += budget.trySpend(someday) ? 1 : 0;
    }
    cr_assert_leq(retries, 100, "%d", retries);
    cr_assert_gt(retries, 80);
}

Test(limits, a_smaller_reserve_gives_up_what_is_held_above_it)
{
    retry_budget budget;
    budget.setReserve(2);
    int atOnce = 0;
    while (budget.trySpend(someday)) {
        ++atOnce;
    }
    cr_assert_eq(atOnce, 2);
    for (int i = 0; i < 1000; ++i) {
        budget.onFirstSend();
    }
    cr_assert(budget.trySpend(someday) && budget.trySpend(someday));
    cr_assert_not(budget.trySpend(someday), "no more than the reserve is saved up");
}

Test(limits, a_quiet_service_can_repair_a_single_failure_and_earns_slowly_by_waiting)
{
    retry_budget budget;
    int atOnce = 0;
    while (budget.trySpend(someday)) {
        ++atOnce;
    }
    cr_assert_eq(atOnce, retry_budget::defaultReserve);
    cr_assert_not(budget.trySpend(someday + 29s));
    cr_assert(budget.trySpend(someday + 31s));
    cr_assert_not(budget.trySpend(someday + 32s));
}

Test(limits, a_large_account_does_not_starve_a_small_one)
{
    admission_queue queue;
    for (std::uint64_t i = 0; i < 200; ++i) {
        cr_assert(queue.push(waiting(i, "large")));
    }
    cr_assert(queue.push(waiting(1000, "small")));
    cr_assert_eq(queue.pop()->ticket, 0);
    const std::uint64_t second = queue.pop()->ticket;
    const std::uint64_t third = queue.pop()->ticket;
    cr_assert(second == 1000 || third == 1000);
}

Test(limits, accounts_are_served_by_weight)
{
    admission_queue queue;
    for (std::uint64_t i = 0; i < 100; ++i) {
        queue.push(waiting(i, "heavy", priority::Normal, 3.0));
        queue.push(waiting(1000 + i, "light", priority::Normal, 1.0));
    }
    int heavy = 0;
    for (int i = 0; i < 80; ++i) {
        heavy += queue.pop()->ticket < 1000 ? 1 : 0;
    }
    cr_assert(heavy >= 58 && heavy <= 62, "%d of 80 went to the account with three times the weight", heavy);
}

Test(limits, prompt_goes_first_and_long_is_not_starved)
{
    admission_queue queue;
    for (std::uint64_t i = 0; i < 100; ++i) {
        queue.push(waiting(i, "a", priority::Prompt));
        queue.push(waiting(1000 + i, "a", priority::Long));
    }
    int longOnes = 0;
    for (int i = 0; i < 80; ++i) {
        longOnes += queue.pop()->ticket >= 1000 ? 1 : 0;
    }
    cr_assert_eq(longOnes, 10);
}

Test(limits, a_queue_is_bounded_in_count_and_time_but_never_sheds_what_was_accepted)
{
    admission_queue queue(2);
    cr_assert(queue.push(waiting(1, "a")));
    cr_assert(queue.push(waiting(2, "a")));
    cr_assert_not(queue.push(waiting(3, "a")));
    waiting_request accepted = waiting(4, "a");
    accepted.accepted = true;
    accepted.waitUntil = someday + 1h;
    cr_assert(queue.push(accepted));
    cr_assert_eq(queue.nextExpiry(), someday + 1s);
    cr_assert_eq(queue.takeExpired(someday + 1s).size(), 2);
    cr_assert_eq(queue.pop()->ticket, 4);
    cr_assert_not(queue.pop().has_value());
}

Test(limits, a_request_that_could_not_be_placed_is_next_in_its_account_again)
{
    admission_queue queue;
    queue.push(waiting(1, "a"));
    queue.push(waiting(2, "a"));
    queue.putBack(*queue.pop());
    cr_assert_eq(queue.pop()->ticket, 1);
    cr_assert(queue.remove(2).has_value());
    cr_assert_eq(queue.size(), 0);
}
